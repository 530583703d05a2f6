import type Clock from '@cyclamengate/common/Clock';
import type { EventLog } from '@cyclamengate/common/newEventLog';
import type Store from './Store.js';

/** How often an offset is remembered, and so how often the topic is trimmed at most. */
const NOTE_EVERY_MS = 3_000;

export interface TrimmerOptions {
  clock: Clock;
  log: EventLog;
  store: Store;
  topic: string;
  /** Records older than this are of no use to anybody, in milliseconds. */
  lifeMs: number;
}

/**
 * Deletes records of a topic that have outlived their use.
 *
 * A host that reads the topic reads it from its oldest record on: left alone, that would be minutes
 * of records for the few seconds that it needs.
 */
const newTrimmer = ({ clock, log, store, topic, lifeMs }: TrimmerOptions) => {
  let notes: { offset: number; deadline: number }[] = [];
  let nextNoteAt = -Infinity;

  const trim = async (before: number): Promise<void> => {
    const trimmed = await store.trim(topic, before);
    if (!trimmed.ok) log.warn('store.trim-failed', { topic, before, fault: trimmed.val });
  };

  /** @param offset of a record that was written just now */
  return (offset: number): void => {
    const now = clock.now();
    if (now < nextNoteAt) return;
    nextNoteAt = now + NOTE_EVERY_MS;
    const over = notes.filter(({ deadline }) => deadline < now);
    notes = notes.filter(({ deadline }) => deadline >= now);
    notes.push({ offset, deadline: now + lifeMs });
    const newest = over.at(-1);
    if (newest) trim(newest.offset);
  };
};

export default newTrimmer;
