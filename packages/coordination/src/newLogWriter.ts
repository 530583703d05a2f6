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

/** Records that are queued during an append are appended together, up to this number. */
const MAX_BATCH_RECORDS = 256;
const MAX_BATCH_BYTES = 1_048_576;

/**
 * Why a record's decision is not known by its deadline.
 * - `not-written`: the record was not appended
 * - `unknown`: the record may be in the log, or may still be appended
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
  /** This host's share of the appends per second that the whole system may send to the log. */
  appendsPerSecond: () => number;
  /** Spreads the retries of hosts after an outage; fixed in tests. */
  random?: () => number;
}

/**
 * Writes records and returns the fold's decisions about them.
 *
 * The answer to an append can be lost although the record was appended. So the answer does not
 * settle a write: the writer retries the record under the same id, which the fold applies only
 * once, and waits until the follower has read the record from the log.
 */
const newLogWriter = (options: LogWriterOptions) => {
  const { clock, log, follower, metrics, writer, appendsPerSecond, random } = options;
  const pendingById = new Map<string, Pending>();
  let queue: Pending[] = [];
  let wake = (): void => undefined;

  const settle = (pending: Pending, result: Result<Decision, WriteFault>): void => {
    pendingById.delete(pending.id);
    pending.resolve(result);
  };

  follower.onFolded(({ id, decision }) => {
    const pending = pendingById.get(id);
    if (pending) settle(pending, Ok(decision));
  });

  const settleExpired = (): void => {
    const now = clock.now();
    pendingById.forEach((pending) => {
      if (pending.deadline <= now) settle(pending, Err(pending.isSent ? 'unknown' : 'not-written'));
    });
    queue = queue.filter(({ id }) => pendingById.has(id));
  };

  const takeBatch = (): Pending[] => {
    let bytes = 0;
    const firstExcess = queue.slice(0, MAX_BATCH_RECORDS).findIndex(({ body }) => {
      bytes += body.length;
      return bytes > MAX_BATCH_BYTES;
    });
    const count = firstExcess === -1 ? MAX_BATCH_RECORDS : Math.max(1, firstExcess);
    return queue.splice(0, count);
  };

  /** @returns whether the log accepted the batch */
  const appendBatch = async (batch: Pending[]): Promise<boolean> => {
    metrics.count('log_appends');
    metrics.count('log_records_written', batch.length);
    const appended = await log.append(batch.map(({ body }) => body));
    const mayBeAppended = appended.ok || appended.val === 'unknown';
    batch.forEach((pending) => {
      pending.isSent ||= mayBeAppended;
    });
    if (!appended.ok) {
      metrics.count('log_append_faults');
      queue.unshift(...batch.filter(({ id }) => pendingById.has(id)));
    }
    return appended.ok;
  };

  const waitForWork = async (signal: AbortSignal): Promise<void> => {
    const nearestDeadline = Math.min(...[...pendingById.values()].map(({ deadline }) => deadline));
    const interrupt = new AbortController();
    wake = () => interrupt.abort();
    const onAbort = (): void => interrupt.abort();
    signal.addEventListener('abort', onAbort, { once: true });
    const deadline = Number.isFinite(nearestDeadline) ? nearestDeadline : clock.now() + 60_000;
    await clock.sleepUntil(deadline, interrupt.signal);
    signal.removeEventListener('abort', onAbort);
  };

  /** Appends queued records, one batch at a time, until the signal aborts. */
  const run = async (signal: AbortSignal): Promise<void> => {
    let failures = 0;
    while (!signal.aborted) {
      settleExpired();
      if (queue.length === 0) {
        await waitForWork(signal);
      } else {
        const nextAppendAt = clock.now() + 1_000 / appendsPerSecond();
        const isAppended = await appendBatch(takeBatch());
        failures = isAppended ? 0 : failures + 1;
        const next = isAppended ? nextAppendAt : backoff(clock.now(), failures, random);
        await clock.sleepUntil(next, signal);
      }
    }
    pendingById.forEach((pending) =>
      settle(pending, Err(pending.isSent ? 'unknown' : 'not-written')),
    );
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
      pendingById.set(id, pending);
      queue.push(pending);
      wake();
    });

  return { run, write, queued: (): number => queue.length };
};

export type LogWriter = ReturnType<typeof newLogWriter>;

export default newLogWriter;
