import newMetrics from '@cyclamengate/common/newMetrics';
import { newManualClock } from '@cyclamengate/fakes/newManualClock';
import newCrashGuard from '../src/newCrashGuard.js';
import newCrashHistory from '../src/newCrashHistory.js';
import newDirectory from '../src/newDirectory.js';
import type { Trials } from '../src/newSuspectGate.js';
import soleTrials from '../src/soleTrials.js';
import TruncatedAnswer from '../src/TruncatedAnswer.js';
import UpstreamClient from '../src/UpstreamClient.js';
import type { UpstreamOutcome, UpstreamRequest } from '../src/UpstreamClient.js';
import type { RequestWork } from '../src/upstreamCrash.js';
import type { UpstreamEntry } from '../src/upstreamEntry.js';
import { newEntry, silentLog } from './helpers.js';

async function* yieldBody(text: string, isTruncated: boolean): AsyncGenerator<Buffer> {
  yield Buffer.from(text);
  if (isTruncated) throw new TruncatedAnswer('reset');
}

export const broken: UpstreamOutcome = {
  type: 'fault',
  fault: { type: 'unknown', reason: 'reset' },
};
export const full: UpstreamOutcome = {
  type: 'fault',
  fault: { type: 'not-run', reason: 'full', isUnreachable: false, load: null },
};

export const newAnswer = (isTruncated = false): UpstreamOutcome => ({
  type: 'answer',
  answer: {
    status: 200,
    headers: {},
    signature: 's',
    load: null,
    version: null,
    isEventStream: false,
    hasLength: true,
    body: yieldBody('ok', isTruncated),
  },
});

export const newRequest = (
  body: string,
  prompt?: string,
  path = '/lookup/1',
  work: RequestWork = 'call',
): UpstreamRequest => ({
  requestId: 'r1',
  work,
  method: 'POST',
  path,
  hostName: 'parts.example',
  headers: prompt === undefined ? {} : { prompt },
  body: Buffer.from(body),
  customer: 'museum',
  deadline: null,
  lastEventId: null,
});

/** The guard of one host before upstreams `a`, `b` and `c`, whose outcomes a test sets. */
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
    work?: RequestWork,
  ): Promise<UpstreamOutcome> => {
    const entry = entries[upstream] as UpstreamEntry;
    const deadline = clock.now() + 1_000;
    const outcome = await guard.send(
      entry,
      newRequest(body, prompt, path, work),
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

export type Guard = ReturnType<typeof newGuard>;

export default newGuard;
