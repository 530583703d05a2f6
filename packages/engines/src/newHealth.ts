import type Clock from '@cyclamengate/common/Clock';
import type { EventLog } from '@cyclamengate/common/newEventLog';

/** Back-off after the first failure; doubles with each consecutive one. */
const INITIAL_BACKOFF_MS = 300;
/** Long enough to keep requests off a dead upstream, short enough to detect its recovery soon. */
const MAX_BACKOFF_MS = 3_000;

interface UpstreamHealth {
  failures: number;
  backoffUntil: number;
}

/**
 * Tracks failures of each upstream, as observed by this host.
 *
 * An upstream can fail while it reports itself healthy, so only the outcomes of requests count. An
 * upstream that fails is avoided for a back-off that doubles with each consecutive failure; a
 * success ends the series.
 */
const newHealth = (clock: Clock, log: EventLog) => {
  const healthById = new Map<string, UpstreamHealth>();

  const getOrCreate = (id: string): UpstreamHealth => {
    const known = healthById.get(id);
    if (known) return known;
    const created: UpstreamHealth = { failures: 0, backoffUntil: -Infinity };
    healthById.set(id, created);
    return created;
  };

  return {
    recordSuccess: (id: string): void => {
      getOrCreate(id).failures = 0;
    },
    /** Logs the first, second, fourth … consecutive failure. */
    recordFailure: (id: string, reason: string): void => {
      const record = getOrCreate(id);
      const backoffMs = Math.min(MAX_BACKOFF_MS, INITIAL_BACKOFF_MS * 2 ** record.failures);
      record.failures += 1;
      record.backoffUntil = Math.max(record.backoffUntil, clock.now() + backoffMs);
      // While all upstreams of a service are down, each of them fails hundreds of times a second.
      if (!Number.isInteger(Math.log2(record.failures))) return;
      log.warn('upstream.failed', {
        upstream: id,
        reason,
        failures: record.failures,
        restMs: backoffMs,
      });
    },
    isBackedOff: (id: string): boolean => clock.now() < getOrCreate(id).backoffUntil,
    remove: (id: string): void => {
      healthById.delete(id);
    },
  };
};

export type Health = ReturnType<typeof newHealth>;

export default newHealth;
