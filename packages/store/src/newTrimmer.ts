import type Clock from '@cyclamengate/common/Clock';
import type { EventLog } from '@cyclamengate/common/newEventLog';
import type Store from './Store.js';

/** Minimum time between two recorded offsets, and so between two trims of the topic. */
const MIN_TRIM_INTERVAL_MS = 3_000;

export interface TrimmerOptions {
  clock: Clock;
  log: EventLog;
  store: Store;
  topic: string;
  /** Retention period of the records, in milliseconds. */
  retentionMs: number;
}

/**
 * Deletes records of a topic after their retention period.
 *
 * A host reads the topic from its oldest record on. Without trimming, it would read minutes of
 * records although it needs only those of a few seconds.
 */
const newTrimmer = ({ clock, log, store, topic, retentionMs }: TrimmerOptions) => {
  let trimPoints: { offset: number; deadline: number }[] = [];
  let nextTrimPointAt = -Infinity;

  const trim = async (before: number): Promise<void> => {
    const trimmed = await store.trim(topic, before);
    if (!trimmed.ok) log.warn('store.trim-failed', { topic, before, fault: trimmed.val });
  };

  /** @param offset of a record that has just been written */
  return (offset: number): void => {
    const now = clock.now();
    if (now < nextTrimPointAt) return;
    nextTrimPointAt = now + MIN_TRIM_INTERVAL_MS;
    const expired = trimPoints.filter(({ deadline }) => deadline < now);
    trimPoints = trimPoints.filter(({ deadline }) => deadline >= now);
    trimPoints.push({ offset, deadline: now + retentionMs });
    const newest = expired.at(-1);
    if (newest) void trim(newest.offset);
  };
};

export default newTrimmer;
