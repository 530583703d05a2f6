import type Clock from '@cyclamengate/common/Clock';
import type { EventLog } from '@cyclamengate/common/newEventLog';
import type { OddValues, ValueSource } from '@cyclamengate/common/newOddValues';
import type Store from './Store.js';
import type { KeyedRecord, StoredRecord } from './Store.js';

const RETRY_DELAY_MS = 100;

export interface KeyedFollowerOptions {
  clock: Clock;
  log: EventLog;
  store: Store;
  topic: string;
  oddValues: OddValues;
  /** What the topic holds, for the counters of values that can't be applied. */
  source: ValueSource;
  /** Minimum time between two reads, in milliseconds. */
  readIntervalMs: () => number;
  /** How long the store holds a read open for new records, in milliseconds. */
  readWaitMs: () => number;
  /** Called with each newer record of a key; a null value means that the key was deleted. */
  apply: (record: KeyedRecord) => void;
  /** Called when a read succeeds after failed reads, before its records are applied. */
  onRecovered?: (gap: ReadGap) => void;
}

/** A time in which no read of a host succeeded: the store was away, or this host alone did not reach it. */
export interface ReadGap {
  durationMs: number;
  /** How often the key with the most records was written meanwhile; null if that is not known. */
  mostWrites: number | null;
}

const countMostWrites = (records: KeyedRecord[]): number => {
  const counts = new Map<string, number>();
  records.forEach(({ key }) => counts.set(key, (counts.get(key) ?? 0) + 1));
  return [...counts.values()].reduce((most, count) => Math.max(most, count), 0);
};

/**
 * Follows the newest record of each key of a topic.
 *
 * The store may trim the topic at any time, so records can be deleted before they are read. This is
 * detected by an offset that is no longer retained. The newest record of each key is always
 * retained, so the follower then reads a snapshot, and treats keys that are missing from it as
 * deleted.
 */
const newKeyedFollower = (options: KeyedFollowerOptions) => {
  const { clock, log, store, topic, readIntervalMs, readWaitMs, apply, onRecovered } = options;
  const { oddValues, source } = options;
  const offsets = new Map<string, number>();
  let next: number | null = null;
  let freshAt = -Infinity;
  let isUnavailable = false;
  /** Whether a read has succeeded from where the newest snapshot ended. */
  let hasReadTail = false;
  /** When the newest read that succeeded was answered. */
  let answeredAt = -Infinity;

  const recordSuccess = (mostWrites: number | null): void => {
    if (isUnavailable) {
      const durationMs = Math.round(clock.now() - answeredAt);
      log.info('store.read-back', { topic, next, durationMs, mostWrites });
      onRecovered?.({ durationMs, mostWrites });
    }
    isUnavailable = false;
    answeredAt = clock.now();
  };

  const recordFailure = (): void => {
    if (!isUnavailable) log.warn('store.read-failed', { topic, next });
    isUnavailable = true;
  };

  const applyIfNewer = (record: KeyedRecord): void => {
    if ((offsets.get(record.key) ?? -1) >= record.offset) return;
    if (record.value === null) offsets.delete(record.key);
    else offsets.set(record.key, record.offset);
    const { key, offset } = record;
    oddValues.apply(source, { topic, key, offset }, () => apply(record));
  };

  /** @returns the keyed record; none if its key can't be read */
  const parse = (record: StoredRecord): KeyedRecord[] => {
    const keyed = store.parseKeyed(record);
    if (keyed) return [keyed];
    const { offset } = record;
    oddValues.reject(source, 'record.unreadable', { topic, offset, reason: 'key' });
    return [];
  };

  /** The record that deleted a key may have been trimmed; only the key's absence shows it then. */
  const deleteMissing = (presentKeys: Set<string>, end: number): void =>
    [...offsets].forEach(([key, offset]) => {
      if (!presentKeys.has(key) && offset < end) applyIfNewer({ key, offset: end, value: null });
    });

  const readSnapshot = async (signal?: AbortSignal): Promise<boolean> => {
    const requestedAt = clock.now();
    const snapshot = await store.newest(topic, signal);
    if (!snapshot.ok) return false;
    const { records, end } = snapshot.val;
    recordSuccess(null);
    records.forEach(applyIfNewer);
    deleteMissing(new Set(records.map(({ key }) => key)), end);
    log.info('store.snapshot', { topic, keys: records.length, end });
    next = end;
    hasReadTail = false;
    freshAt = requestedAt;
    return true;
  };

  const readTail = async (from: number, signal?: AbortSignal): Promise<boolean> => {
    const requestedAt = clock.now();
    const page = await store.read(topic, from, readWaitMs(), signal);
    if (!page.ok) {
      if (page.val.type !== 'expired') {
        // The snapshot may have stated an end that the topic doesn't have.
        if (!hasReadTail) next = null;
        return false;
      }
      log.warn('store.history-gone', { topic, from, first: page.val.first });
      next = null;
      return true;
    }
    const { records, end } = page.val;
    // A store that has records returns some.
    if (records.length === 0 && end > from) return false;
    if (records[0] && records[0].offset > from) {
      log.warn('store.history-gap', { topic, from, found: records[0].offset });
      next = null;
      return true;
    }
    const parsed = records.flatMap(parse);
    recordSuccess(countMostWrites(parsed));
    parsed.forEach(applyIfNewer);
    hasReadTail = true;
    next = (records.at(-1)?.offset ?? from - 1) + 1;
    if (next >= end) freshAt = requestedAt;
    return true;
  };

  const run = async (signal: AbortSignal): Promise<void> => {
    while (!signal.aborted) {
      const nextReadAt = clock.now() + readIntervalMs();
      const isRead: boolean = await (next === null ? readSnapshot(signal) : readTail(next, signal));
      if (!isRead) recordFailure();
      await clock.sleepUntil(isRead ? nextReadAt : clock.now() + RETRY_DELAY_MS, signal);
    }
  };

  return { run, freshAt: (): number => freshAt };
};

export type KeyedFollower = ReturnType<typeof newKeyedFollower>;

export default newKeyedFollower;
