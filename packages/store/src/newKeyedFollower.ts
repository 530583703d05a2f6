import type Clock from '@cyclamengate/common/Clock';
import type { EventLog } from '@cyclamengate/common/newEventLog';
import type Store from './Store.js';
import type { KeyedRecord } from './Store.js';

const WAIT_MS = 500;
const FAILED_PAUSE_MS = 100;

export interface KeyedFollowerOptions {
  clock: Clock;
  log: EventLog;
  store: Store;
  topic: string;
  /** Least time between two reads, in milliseconds. */
  readPaceMs: () => number;
  /** A key has a newer record; a null value means that it was dropped. */
  apply: (record: KeyedRecord) => void;
  /** The store has answered again after it did not. */
  onBack?: () => void;
}

/**
 * Follows the newest record of each key of a topic.
 *
 * The topic's history may go at any time, also between two reads: then records that were never read
 * are missing, which shows as an offset that is no longer kept. The newest record of each key always
 * remains, so the whole is read anew and what is no longer there counts as dropped.
 */
const newKeyedFollower = (options: KeyedFollowerOptions) => {
  const { clock, log, store, topic, readPaceMs, apply, onBack } = options;
  const offsets = new Map<string, number>();
  let next: number | null = null;
  let freshAt = -Infinity;
  let isLost = false;

  const take = (record: KeyedRecord): void => {
    if ((offsets.get(record.key) ?? -1) >= record.offset) return;
    if (record.value === null) offsets.delete(record.key);
    else offsets.set(record.key, record.offset);
    apply(record);
  };

  /** A key that was dropped while history went leaves no record to read: it is only missing. */
  const dropMissing = (found: Set<string>, end: number): void =>
    [...offsets].forEach(([key, offset]) => {
      if (!found.has(key) && offset < end) take({ key, offset: end, value: null });
    });

  const readSnapshot = async (signal?: AbortSignal): Promise<boolean> => {
    const askedAt = clock.now();
    const snapshot = await store.newest(topic, signal);
    if (!snapshot.ok) return false;
    const { records, end } = snapshot.val;
    records.forEach(take);
    dropMissing(new Set(records.map(({ key }) => key)), end);
    log.info('store.snapshot', { topic, keys: records.length, end });
    next = end;
    freshAt = askedAt;
    return true;
  };

  const readTail = async (from: number, signal?: AbortSignal): Promise<boolean> => {
    const askedAt = clock.now();
    const page = await store.read(topic, from, WAIT_MS, signal);
    if (!page.ok) {
      if (page.val.type !== 'expired') return false;
      log.warn('store.history-gone', { topic, from, first: page.val.first });
      next = null;
      return true;
    }
    const { records, end } = page.val;
    if (records[0] && records[0].offset > from) {
      log.warn('store.history-gap', { topic, from, found: records[0].offset });
      next = null;
      return true;
    }
    records.map((record) => store.keyed(record)).forEach(take);
    next = (records.at(-1)?.offset ?? from - 1) + 1;
    if (next >= end) freshAt = askedAt;
    return true;
  };

  const note = (isRead: boolean): void => {
    if (isRead && isLost) {
      log.info('store.read-back', { topic, next });
      onBack?.();
    }
    if (!isRead && !isLost) log.warn('store.read-failed', { topic, next });
    isLost = !isRead;
  };

  const run = async (signal: AbortSignal): Promise<void> => {
    while (!signal.aborted) {
      const nextReadAt = clock.now() + readPaceMs();
      const isRead: boolean = await (next === null ? readSnapshot(signal) : readTail(next, signal));
      note(isRead);
      await clock.sleepUntil(isRead ? nextReadAt : clock.now() + FAILED_PAUSE_MS, signal);
    }
  };

  return { run, freshAt: (): number => freshAt };
};

export type KeyedFollower = ReturnType<typeof newKeyedFollower>;

export default newKeyedFollower;
