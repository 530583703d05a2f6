import type Clock from '@cyclamengate/common/Clock';
import type { EventLog } from '@cyclamengate/common/newEventLog';
import median from '@cyclamengate/common/median';

/** Back-off after the first failure; doubles with each consecutive one. */
const INITIAL_BACKOFF_MS = 300;
/** Long enough to keep requests off a dead upstream, short enough to detect its recovery soon. */
const MAX_BACKOFF_MS = 3_000;
/** Newest latencies per upstream; one stream of an engine yields this many within a second. */
const MAX_LATENCY_SAMPLES = 15;
/** With fewer, a single late event would make the upstream look slow. */
const MIN_LATENCY_SAMPLES = 5;
/** A slow upstream that gets no requests is tried again after this time. */
const LATENCY_TTL_MS = 8_000;

interface UpstreamHealth {
  failures: number;
  backoffUntil: number;
  /** The newest times of a unit of work. */
  latenciesMs: number[];
  latenciesExpireAt: number;
}

/**
 * Tracks failures and latency of each upstream, as observed by this host.
 *
 * An upstream can fail while it reports itself healthy, so only the outcomes of requests count. An
 * upstream that fails is avoided for a back-off that doubles with each consecutive failure; a
 * success ends the series. Latency is the median of the newest times: with an average, one pause in
 * one stream made an engine look slow, and hundreds of items a minute were moved away from healthy
 * engines.
 */
const newHealth = (clock: Clock, log: EventLog) => {
  const healthById = new Map<string, UpstreamHealth>();

  const getOrCreate = (id: string): UpstreamHealth => {
    const known = healthById.get(id);
    if (known) return known;
    const created: UpstreamHealth = {
      failures: 0,
      backoffUntil: -Infinity,
      latenciesMs: [],
      latenciesExpireAt: -Infinity,
    };
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
    /**
     * @param durationMs time of one unit of work: one event of a stream, or a complete plain call
     */
    recordLatency: (id: string, durationMs: number): void => {
      const record = getOrCreate(id);
      const isExpired = clock.now() >= record.latenciesExpireAt;
      record.latenciesMs = [...(isExpired ? [] : record.latenciesMs), durationMs].slice(
        -MAX_LATENCY_SAMPLES,
      );
      record.latenciesExpireAt = clock.now() + LATENCY_TTL_MS;
    },
    isBackedOff: (id: string): boolean => clock.now() < getOrCreate(id).backoffUntil,
    /** Median time of a unit of work, in milliseconds; null with too few samples. */
    getLatencyMs: (id: string): number | null => {
      const { latenciesMs, latenciesExpireAt } = getOrCreate(id);
      const isReliable =
        latenciesMs.length >= MIN_LATENCY_SAMPLES && clock.now() < latenciesExpireAt;
      return isReliable ? median(latenciesMs) : null;
    },
    remove: (id: string): void => {
      healthById.delete(id);
    },
  };
};

export type Health = ReturnType<typeof newHealth>;

export default newHealth;
