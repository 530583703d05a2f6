/** A prefix came into an engine's cache or was dropped from it. */
export interface CacheEvent {
  sequence: number;
  kind: 'cached' | 'evicted';
  prefix: string;
  /** When it happened, on this process's monotonic clock. */
  at: number;
}

const EVENTS_KEPT = 1_024;

/** An engine's cache of prompt prefixes, with the events that it publishes of it. */
const newPrefixCache = (prefixesCached: number) => {
  const cached = new Set<string>();
  const events: CacheEvent[] = [];
  let sequence = 0;

  const publish = (kind: CacheEvent['kind'], prefix: string): void => {
    events.push({ sequence, kind, prefix, at: performance.now() });
    sequence += 1;
    if (events.length > EVENTS_KEPT) events.shift();
  };

  return {
    /** @returns whether the prefix was cached already */
    use: (prefix: string): boolean => {
      const isCached = cached.delete(prefix);
      cached.add(prefix);
      if (!isCached) publish('cached', prefix);
      const [oldest] = cached;
      if (cached.size > prefixesCached && oldest !== undefined) {
        cached.delete(oldest);
        publish('evicted', oldest);
      }
      return isCached;
    },
    /** Events from a sequence number on that are at least so old: the engine tells of them late. */
    read: (from: number, lateMs: number): CacheEvent[] =>
      events.filter((event) => event.sequence >= from && event.at <= performance.now() - lateMs),
  };
};

export default newPrefixCache;
