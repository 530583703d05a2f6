import test from 'ava';
import { newManualClock } from '@cyclamengate/fakes/newManualClock';
import computeCrashWeight from '../src/computeCrashWeight.js';
import newAnsweredPaths from '../src/newAnsweredPaths.js';
import newRunGroups from '../src/newRunGroups.js';
import type { UpstreamOutcome } from '../src/UpstreamClient.js';
import type { UpstreamEntry } from '../src/upstreamEntry.js';
import newGuard, { broken, full, newAnswer, newRequest } from './newGuard.js';

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
  // Two contents and one path.
  t.is(history.size(), 3);
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
  const [digest] = claims;
  t.deepEqual(claims, [digest, digest, `not ${digest}`]);
});

test('copies that share only their path are held together', async (t) => {
  // Guards against copies of a request whose bodies differ, each of which ends upstreams of its own.
  const { state, run, isHeld } = newGuard();
  state.ended = new Set(['a', 'b', 'c']);
  await run(0, 'first copy', undefined, '/score/7');
  await run(1, 'second copy', undefined, '/score/7');
  t.false(isHeld(await run(2, 'third copy', undefined, '/score/7')));
  t.true(isHeld(await run(0, 'fourth copy', undefined, '/score/7')));
  t.false(isHeld(await run(0, 'another', undefined, '/score/8')));
});

test('the other requests of a path are not held after two upstreams ended under one of them', async (t) => {
  // Guards against callers of a path that nobody was answered on yet, who are refused for one request.
  const { state, run, isHeld } = newGuard();
  state.ended = new Set(['a', 'b']);
  await run(0, 'deadly', undefined, '/score/7');
  await run(1, 'deadly', undefined, '/score/7');
  t.true(isHeld(await run(2, 'deadly', undefined, '/score/7')));
  t.false(isHeld(await run(2, 'innocent', undefined, '/score/7')));
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

test('a run counts in full if it had given nothing or ran alone, and half otherwise', (t) => {
  t.is(computeCrashWeight(false, 8), 1);
  t.is(computeCrashWeight(true, 1), 1);
  t.is(computeCrashWeight(true, 2), 0.5);
});

test('runs that an upstream breaks off one after the other count as one group', async (t) => {
  const clock = newManualClock();
  const groups = newRunGroups(clock);
  for (let index = 0; index < 3; index += 1) groups.begin('a@1');
  groups.begin('b@1');
  for (let index = 0; index < 3; index += 1) {
    t.is(groups.countBroken('a@1'), 3);
    groups.end('a@1');
    await clock.advance(100);
  }
  t.is(groups.countBroken('b@1'), 1);
});

test('a path counts as answered for a minute', async (t) => {
  const clock = newManualClock();
  const paths = newAnsweredPaths(clock);
  paths.add('portal', newRequest('x'));
  await clock.advance(59_999);
  t.true(paths.has('portal', newRequest('x')));
  t.false(paths.has('other', newRequest('x')));
  t.false(paths.has('portal', newRequest('x', undefined, '/lookup/2')));
  await clock.advance(1);
  t.false(paths.has('portal', newRequest('x')));
});
