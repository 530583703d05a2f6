import type Clock from '@cyclamengate/common/Clock';
import newId from '@cyclamengate/common/newId';
import { Err, Ok } from '@cyclamengate/common/outcome';
import type { Result } from '@cyclamengate/common/outcome';
import backoff from '@cyclamengate/common/backoff';
import type { Metrics } from '@cyclamengate/common/newMetrics';
import type PlatformLog from '@cyclamengate/platform/PlatformLog';
import type { Decision } from '@cyclamengate/settings/decision';
import type { Follower } from './newFollower.js';
import { RECORD_VERSION } from './systemRecord.js';
import type { SystemRecord } from './systemRecord.js';

/** Records that gather while an append is under way go together, up to this many. */
const BATCH_RECORDS = 256;
const BATCH_BYTES = 1_048_576;

/**
 * Why a record's decision is not known by its deadline.
 * - `not-written`: it never left this host
 * - `unknown`: it may be in the log, or may still land there
 */
export type WriteFault = 'not-written' | 'unknown';

interface Pending {
  id: string;
  body: string;
  deadline: number;
  isSent: boolean;
  resolve: (result: Result<Decision, WriteFault>) => void;
}

export interface LogWriterOptions {
  clock: Clock;
  log: PlatformLog;
  follower: Follower;
  metrics: Metrics;
  writer: string;
  /** This host's part of the appends a second that the log takes from the whole system. */
  appendsPerSecond: () => number;
  /** Spreads the hosts' retries after an outage; tests give a fixed one. */
  random?: () => number;
}

/**
 * Writes records and tells what the fold decided about them.
 *
 * An append's answer can be lost after the record has landed. So an answer is never taken for a
 * decision: the writer sends the record again under the same id, which the fold counts once, and
 * waits until it reads the record back.
 */
const newLogWriter = (options: LogWriterOptions) => {
  const { clock, log, follower, metrics, writer, appendsPerSecond, random } = options;
  const awaited = new Map<string, Pending>();
  let queue: Pending[] = [];
  let wake = (): void => undefined;

  const settle = (pending: Pending, result: Result<Decision, WriteFault>): void => {
    awaited.delete(pending.id);
    pending.resolve(result);
  };

  follower.onFolded(({ id, decision }) => {
    const pending = awaited.get(id);
    if (pending) settle(pending, Ok(decision));
  });

  const expire = (): void => {
    const now = clock.now();
    awaited.forEach((pending) => {
      if (pending.deadline <= now) settle(pending, Err(pending.isSent ? 'unknown' : 'not-written'));
    });
    queue = queue.filter(({ id }) => awaited.has(id));
  };

  const takeBatch = (): Pending[] => {
    let bytes = 0;
    const fit = queue.slice(0, BATCH_RECORDS).findIndex(({ body }) => {
      bytes += body.length;
      return bytes > BATCH_BYTES;
    });
    const count = fit === -1 ? BATCH_RECORDS : Math.max(1, fit);
    return queue.splice(0, count);
  };

  /** @returns whether the log took the batch */
  const appendBatch = async (batch: Pending[]): Promise<boolean> => {
    metrics.count('log_appends');
    metrics.count('log_records_written', batch.length);
    const appended = await log.append(batch.map(({ body }) => body));
    const mayHaveLanded = appended.ok || appended.val === 'unknown';
    batch.forEach((pending) => {
      pending.isSent ||= mayHaveLanded;
    });
    if (!appended.ok) {
      metrics.count('log_append_faults');
      queue.unshift(...batch.filter(({ id }) => awaited.has(id)));
    }
    return appended.ok;
  };

  const waitForWork = async (signal: AbortSignal): Promise<void> => {
    const nearest = Math.min(...[...awaited.values()].map(({ deadline }) => deadline));
    const interrupt = new AbortController();
    wake = () => interrupt.abort();
    const onAbort = (): void => interrupt.abort();
    signal.addEventListener('abort', onAbort, { once: true });
    const deadline = Number.isFinite(nearest) ? nearest : clock.now() + 60_000;
    await clock.sleepUntil(deadline, interrupt.signal);
    signal.removeEventListener('abort', onAbort);
  };

  /** Appends what is queued, one batch after the other, until the signal aborts. */
  const run = async (signal: AbortSignal): Promise<void> => {
    let failures = 0;
    while (!signal.aborted) {
      expire();
      if (queue.length === 0) {
        await waitForWork(signal);
      } else {
        const slotEnds = clock.now() + 1_000 / appendsPerSecond();
        const isAppended = await appendBatch(takeBatch());
        failures = isAppended ? 0 : failures + 1;
        const next = isAppended ? slotEnds : backoff(clock.now(), failures, random);
        await clock.sleepUntil(next, signal);
      }
    }
    awaited.forEach((pending) => settle(pending, Err(pending.isSent ? 'unknown' : 'not-written')));
  };

  /**
   * Writes a record and waits for its decision.
   * @param deadline on the monotonic clock
   */
  const write = (
    record: SystemRecord,
    deadline: number,
    id = newId('record'),
  ): Promise<Result<Decision, WriteFault>> =>
    new Promise((resolve) => {
      const body = JSON.stringify({ version: RECORD_VERSION, id, writer, record });
      const pending: Pending = { id, body, deadline, isSent: false, resolve };
      awaited.set(id, pending);
      queue.push(pending);
      wake();
    });

  return { run, write, queued: (): number => queue.length };
};

export type LogWriter = ReturnType<typeof newLogWriter>;

export default newLogWriter;
