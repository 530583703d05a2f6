import newMetrics from '@cyclamengate/common/newMetrics';
import { newManualClock, settle } from '@cyclamengate/fakes/newManualClock';
import test from 'ava';
import newCrashGuard from '../src/newCrashGuard.js';
import type { Trials } from '../src/newSuspectGate.js';
import newCrashHistory from '../src/newCrashHistory.js';
import newDirectory from '../src/newDirectory.js';
import soleTrials from '../src/soleTrials.js';
import TruncatedAnswer from '../src/TruncatedAnswer.js';
import UpstreamClient from '../src/UpstreamClient.js';
import type { UpstreamOutcome, UpstreamRequest } from '../src/UpstreamClient.js';
import type { UpstreamEntry } from '../src/upstreamEntry.js';
import { newEntry, silentLog } from './helpers.js';

async function* yieldBody(text: string, isTruncated: boolean): AsyncGenerator<Buffer> {
  yield Buffer.from(text);
  if (isTruncated) throw new TruncatedAnswer('reset');
}

const broken: UpstreamOutcome = { type: 'fault', fault: { type: 'unknown', reason: 'reset' } };
const full: UpstreamOutcome = {
  type: 'fault',
  fault: { type: 'not-run', reason: 'full', isUnreachable: false, load: null },
};

const newAnswer = (isTruncated = false): UpstreamOutcome => ({
  type: 'answer',
  answer: {
    status: 200,
    headers: {},
    signature: 's',
    load: null,
    version: null,
    isEventStream: false,
    body: yieldBody('ok', isTruncated),
  },
});

const newRequest = (body: string, prompt?: string, path = `/lookup/${body}`): UpstreamRequest => ({
  requestId: 'r1',
  method: 'POST',
  path,
  hostName: 'parts.example',
  headers: prompt === undefined ? {} : { prompt },
  body: Buffer.from(body),
  customer: 'museum',
  deadline: null,
  lastEventId: null,
});

const newGuard = (trials: Trials = soleTrials) => {
  const clock = newManualClock();
  const directory = newDirectory(clock, silentLog);
  const history = newCrashHistory(clock);
  const state = { outcome: (): UpstreamOutcome => broken, ended: new Set<string>(), sent: 0 };

  class FakeClient extends UpstreamClient {
    async send(): Promise<UpstreamOutcome> {
      state.sent += 1;
      return state.outcome();
    }

    async hasEnded({ id }: UpstreamEntry): Promise<boolean> {
      return state.ended.has(id);
    }

    heldUntil(): null {
      return null;
    }

    isConnected(): boolean {
      return true;
    }

    closeConnections(): void {}
  }

  const guard = newCrashGuard({
    clock,
    log: silentLog,
    metrics: newMetrics(),
    client: new FakeClient(),
    directory,
    history,
    findPrompt: ({ prompt }) => prompt ?? null,
    trials,
    onEnded: () => {},
  });
  const entries = ['a', 'b', 'c'].map((id, index) => newEntry(id, { host: `10.0.0.${index}` }));
  entries.forEach(directory.put);
  const signal = new AbortController();
  /** Sends a request and reads the answer's body. */
  const run = async (
    upstream: number,
    body = 'deadly',
    prompt?: string,
    path?: string,
  ): Promise<UpstreamOutcome> => {
    const entry = entries[upstream] as UpstreamEntry;
    const deadline = clock.now() + 1_000;
    const outcome = await guard.send(
      entry,
      newRequest(body, prompt, path),
      deadline,
      signal.signal,
    );
    if (outcome.type === 'answer') {
      try {
        for await (const chunk of outcome.answer.body) chunk.toString();
      } catch (error) {
        if (!(error instanceof TruncatedAnswer)) throw error;
      }
    }
    return outcome;
  };
  const isHeld = (outcome: UpstreamOutcome): boolean =>
    outcome.type === 'fault' && outcome.fault.type === 'held';
  return { clock, directory, history, state, guard, entries, signal, run, isHeld };
};

test('a request that ended two upstreams is not sent to a third', async (t) => {
  // Guards against one request that takes down all upstreams of a service.
  const { state, run, isHeld } = newGuard();
  state.ended = new Set(['a', 'b']);
  t.false(isHeld(await run(0)));
  t.false(isHeld(await run(1)));
  t.true(isHeld(await run(2)));
  t.is(state.sent, 2);
  t.false(isHeld(await run(2, 'another')));
});

test('an answer that is broken off as its upstream ends counts as a crash', async (t) => {
  const { state, run, isHeld } = newGuard();
  state.ended = new Set(['a', 'b']);
  state.outcome = () => newAnswer(true);
  await run(0);
  await run(1);
  t.true(isHeld(await run(2)));
});

test('lost answers and reset connections hold no request back', async (t) => {
  // Guards against innocent requests that are refused while answers are lost or connections reset.
  const { state, run, isHeld } = newGuard();
  for (let count = 0; count < 6; count += 1) t.false(isHeld(await run(count % 3)));
  state.outcome = () => newAnswer(true);
  for (let count = 0; count < 6; count += 1) t.false(isHeld(await run(count % 3)));
});

test('upstreams that end while they are leaving hold no request back', async (t) => {
  // Guards against innocent requests that are refused while upstreams are replaced or reclaimed.
  const { directory, entries, state, run, isHeld } = newGuard();
  state.ended = new Set(['a', 'b', 'c']);
  entries.forEach((entry) => directory.put({ ...entry, isDraining: true }));
  await run(0);
  await run(1);
  directory.remove('c');
  await run(2);
  t.false(isHeld(await run(0)));
});

test('an upstream that is started again at once counts as crashed', async (t) => {
  // Guards against a supervisor that is faster than the probe: its upstream accepts connections.
  const { clock, directory, entries, run, isHeld } = newGuard();
  const [first, second, third] = entries as [UpstreamEntry, UpstreamEntry, UpstreamEntry];
  await run(0);
  await run(1);
  directory.put({ ...first, startedAt: 2 });
  directory.put({ ...second, id: 'successor' });
  t.true(isHeld(await run(2)));
  await run(2, 'another');
  await clock.advance(5_000);
  directory.put({ ...third, startedAt: 2 });
  t.false(isHeld(await run(0, 'another')));
});

test('a request that its caller leaves is not counted', async (t) => {
  const { state, signal, run, isHeld } = newGuard();
  state.ended = new Set(['a', 'b']);
  signal.abort();
  await run(0);
  await run(1);
  t.false(isHeld(await run(2)));
});

test('a silent upstream does not delay the next attempt by the probe', async (t) => {
  const { clock, guard, entries, history, state, signal } = newGuard();
  state.ended = new Set(['a']);
  const [first] = entries as [UpstreamEntry];
  const outcome = await guard.send(first, newRequest('x'), clock.now(), signal.signal);
  t.is(outcome, broken);
  await settle();
  // Its content and its path.
  t.is(history.size(), 2);
});

test('a held request that an upstream answers after its hold is released', async (t) => {
  const { clock, history, state, run, isHeld } = newGuard();
  state.ended = new Set(['a', 'b']);
  await run(0);
  await run(1);
  await clock.advance(1_000);
  state.ended.delete('a');
  state.outcome = () => full;
  t.false(isHeld(await run(2)));
  state.outcome = () => newAnswer();
  t.false(isHeld(await run(2)));
  t.is(history.size(), 0);
});

test('copies of a prompt that differ in their paths and bodies count as one request', async (t) => {
  // Guards against a prompt that ends as many upstreams again with each copy that arrives.
  const { state, run, isHeld } = newGuard();
  state.ended = new Set(['a', 'b']);
  await run(0, 'first copy', 'p1:600,p2:16');
  await run(1, 'second copy', 'p1:600,p2:16');
  t.true(isHeld(await run(2, 'third copy', 'p1:600,p2:16')));
  t.false(isHeld(await run(2, 'another', 'p1:600,p3:16')));
});

test('a request that ended an upstream is not sent to the last one for a while', async (t) => {
  // Guards against a request whose retry leaves all callers of a service without an upstream.
  const { clock, state, run, isHeld } = newGuard();
  state.ended = new Set(['a']);
  await run(0);
  state.ended.add('b');
  t.true(isHeld(await run(2)));
  t.false(isHeld(await run(2, 'another')));
  await clock.advance(5_000);
  t.false(isHeld(await run(2)));
});

test('runs that had given text are held after twice as many crashes as one that had not', async (t) => {
  // Guards against innocent items that are held because a deadly one took them along twice.
  const { guard, entries, clock, signal, state, history, isHeld } = newGuard();
  state.ended = new Set(['a', 'b']);
  const runBoth = async (index: number): Promise<void> => {
    const entry = entries[index] as UpstreamEntry;
    state.outcome = () => newAnswer(true);
    const begun = await guard.send(entry, newRequest('innocent'), clock.now() + 1, signal.signal);
    state.outcome = () => broken;
    await guard.send(entry, newRequest('deadly'), clock.now() + 1, signal.signal);
    if (begun.type !== 'answer') return;
    await t.throwsAsync(async () => {
      for await (const chunk of begun.answer.body) chunk.toString();
    });
  };
  await runBoth(0);
  await runBoth(1);
  state.ended.clear();
  t.is(history.size(), 4);
  const [, , third] = entries as [UpstreamEntry, UpstreamEntry, UpstreamEntry];
  const sendTo = (body: string): Promise<UpstreamOutcome> =>
    guard.send(third, newRequest(body), clock.now() + 1, signal.signal);
  t.false(isHeld(await sendTo('innocent')));
  t.true(isHeld(await sendTo('deadly')));
});

test('a request whose hold has ended waits while another host tries it', async (t) => {
  // Guards against copies at several hosts that are all sent in the moment their hold ends.
  const claims: string[] = [];
  const grants = { waitMs: 700 as number | null };
  const { clock, state, run, isHeld } = newGuard({
    claim: async (digest) => {
      claims.push(digest);
      return grants.waitMs;
    },
    cancel: (digest) => claims.push(`not ${digest}`),
  });
  state.ended = new Set(['a', 'b']);
  await run(0);
  await run(1);
  t.deepEqual(claims, []);
  await clock.advance(1_000);
  state.ended.clear();
  const outcome = await run(2);
  t.deepEqual(outcome, { type: 'fault', fault: { type: 'held', retryAt: clock.now() + 700 } });
  grants.waitMs = null;
  state.outcome = () => full;
  t.false(isHeld(await run(2)));
  const [content, path] = [claims[0], claims[2]];
  t.deepEqual(claims, [content, content, path, `not ${content}`, `not ${path}`]);
});

test('copies that share only their path are held together', async (t) => {
  // Guards against copies of a request whose bodies differ, each of which ends upstreams of its own.
  const { state, run, isHeld } = newGuard();
  state.ended = new Set(['a', 'b']);
  await run(0, 'first copy', undefined, '/score/7');
  await run(1, 'second copy', undefined, '/score/7');
  t.true(isHeld(await run(2, 'third copy', undefined, '/score/7')));
  t.false(isHeld(await run(2, 'another', undefined, '/score/8')));
});

test('requests of a path that is answered are not held for one of them', async (t) => {
  // Guards against all callers of a path that are refused since one request on it ends upstreams.
  const { state, run, isHeld } = newGuard();
  state.outcome = () => newAnswer();
  await run(0, 'innocent', undefined, '/score');
  state.ended = new Set(['a', 'b']);
  state.outcome = () => broken;
  await run(0, 'deadly', undefined, '/score');
  await run(1, 'deadly', undefined, '/score');
  t.true(isHeld(await run(2, 'deadly', undefined, '/score')));
  t.false(isHeld(await run(2, 'innocent', undefined, '/score')));
  t.false(isHeld(await run(2, 'another', undefined, '/score')));
});
