/** Records that a prefix was added to an engine's cache or evicted from it. */
export interface CacheEvent {
  sequence: number;
  kind: 'cached' | 'evicted';
  prefix: string;
  /** Time of the event on this process's monotonic clock. */
  at: number;
}

const MAX_EVENTS = 1_024;

/** An engine's LRU cache of prompt prefixes, with the events that the engine publishes about it. */
const newPrefixCache = (prefixesCached: number) => {
  const cached = new Set<string>();
  const events: CacheEvent[] = [];
  let sequence = 0;

  const publish = (kind: CacheEvent['kind'], prefix: string): void => {
    events.push({ sequence, kind, prefix, at: performance.now() });
    sequence += 1;
    if (events.length > MAX_EVENTS) events.shift();
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
    /** Returns events from a sequence number on that are at least `delayMs` old. */
    read: (from: number, delayMs: number): CacheEvent[] =>
      events.filter((event) => event.sequence >= from && event.at <= performance.now() - delayMs),
  };
};

export default newPrefixCache;
