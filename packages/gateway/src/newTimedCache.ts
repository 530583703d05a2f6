import type Clock from '@cyclamengate/common/Clock';

/** Keeps values that are read more often than they are worth computing, each for a time. */
const newTimedCache = <T>(clock: Clock, ttlMs: number) => {
  const cached = new Map<string, { value: T; validUntil: number }>();
  return {
    getOrCompute: (key: string, compute: () => T): T => {
      const known = cached.get(key);
      if (known && clock.now() < known.validUntil) return known.value;
      const value = compute();
      cached.set(key, { value, validUntil: clock.now() + ttlMs });
      return value;
    },
    clear: (): void => cached.clear(),
  };
};

export default newTimedCache;
