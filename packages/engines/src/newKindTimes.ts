import type Clock from '@cyclamengate/common/Clock';
import median from '@cyclamengate/common/median';

/** Newest calls of a kind, of all upstreams of its service. */
const MAX_SAMPLES = 31;
const MIN_SAMPLES = 5;
/** The median is computed at most this often, since it is read for each request. */
const REFRESH_MS = 200;

interface KindTimes {
  durationsMs: number[];
  usualMs: number | null;
  refreshAt: number;
}

/** The usual time of each kind of call, the wait in an upstream's queue included. */
const newKindTimes = (clock: Clock) => {
  const timesByKind = new Map<string, KindTimes>();

  return {
    record: (kind: string, durationMs: number): void => {
      const times = timesByKind.get(kind) ?? {
        durationsMs: [],
        usualMs: null,
        refreshAt: -Infinity,
      };
      timesByKind.set(kind, times);
      times.durationsMs.push(durationMs);
      if (times.durationsMs.length > MAX_SAMPLES) times.durationsMs.shift();
    },
    /** In milliseconds; null with too few samples. */
    usualMs: (kind: string): number | null => {
      const times = timesByKind.get(kind);
      if (!times || times.durationsMs.length < MIN_SAMPLES) return null;
      if (clock.now() >= times.refreshAt) {
        times.usualMs = median(times.durationsMs);
        times.refreshAt = clock.now() + REFRESH_MS;
      }
      return times.usualMs;
    },
  };
};

export default newKindTimes;
