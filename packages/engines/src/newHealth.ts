import type Clock from '@cyclamengate/common/Clock';
import type { EventLog } from '@cyclamengate/common/newEventLog';

/** First time out after a failure; doubles with each one in a row. */
const FIRST_REST_MS = 300;
/** Long enough to spare callers a dead upstream, short enough to notice that it is back. */
const LONGEST_REST_MS = 3_000;
/** Weight of the newest time in the average. */
const NEWEST_WEIGHT = 0.2;

interface Record {
  failures: number;
  restUntil: number;
  /** Average time of a unit of work in milliseconds; null before the first. */
  pace: number | null;
}

/**
 * What this host has seen of each upstream: failures and speed.
 *
 * An upstream can fail while it says that it is well, so only its own outcomes count. One that fails
 * rests for a while that grows; a single success ends that.
 */
const newHealth = (clock: Clock, log: EventLog) => {
  const records = new Map<string, Record>();

  const recordOf = (id: string): Record => {
    const found = records.get(id);
    if (found) return found;
    const created: Record = { failures: 0, restUntil: -Infinity, pace: null };
    records.set(id, created);
    return created;
  };

  return {
    succeeded: (id: string): void => {
      recordOf(id).failures = 0;
    },
    failed: (id: string, reason: string): void => {
      const record = recordOf(id);
      const restMs = Math.min(LONGEST_REST_MS, FIRST_REST_MS * 2 ** record.failures);
      record.failures += 1;
      record.restUntil = Math.max(record.restUntil, clock.now() + restMs);
      log.warn('upstream.failed', { upstream: id, reason, failures: record.failures, restMs });
    },
    /** @param tookMs time of one unit of work: an event of a stream, or a whole plain call */
    observe: (id: string, tookMs: number): void => {
      const record = recordOf(id);
      record.pace =
        record.pace === null ? tookMs : record.pace + (tookMs - record.pace) * NEWEST_WEIGHT;
    },
    isResting: (id: string): boolean => clock.now() < recordOf(id).restUntil,
    pace: (id: string): number | null => recordOf(id).pace,
    forget: (id: string): void => {
      records.delete(id);
    },
  };
};

export type Health = ReturnType<typeof newHealth>;

export default newHealth;
