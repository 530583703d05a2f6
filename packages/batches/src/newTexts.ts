import type Clock from '@cyclamengate/common/Clock';
import digest from '@cyclamengate/common/digest';
import type { EventLog } from '@cyclamengate/common/newEventLog';
import newStoreWriter from '@cyclamengate/store/newStoreWriter';
import type { StoreWriter } from '@cyclamengate/store/newStoreWriter';
import type Store from '@cyclamengate/store/Store';
import type { TextPlace } from './batchRecord.js';
import newTextCache from './newTextCache.js';
import newTextReader from './newTextReader.js';
import { piecesOf } from './textRecords.js';

/**
 * Texts of one batch lie together; those of batches that run at the same time mostly apart, so that
 * a page is nearly all of one batch. The store allows a hundred topics.
 */
const TOPICS = 32;

export interface TextsOptions {
  clock: Clock;
  log: EventLog;
  store: Store;
  /** Unique to this run of the process. */
  producer: string;
}

const topicOf = (batch: string): string =>
  `texts-${Number.parseInt(digest(batch).slice(0, 4), 16) % TOPICS}`;

/**
 * Whole texts of items, kept in the store apart from the records that all hosts follow.
 *
 * Texts are nine tenths of all bytes. Were they in the followed log, each host would read them all,
 * and after a restart of all hosts nothing could begin before that: ten hosts took 3.4 s for 26 MB
 * each, bound by the store's 80 MB/s. So a result names where its text stands, and the host that is
 * asked for it reads it then.
 */
const newTexts = ({ clock, log, store, producer }: TextsOptions) => {
  const writers = new Map<string, StoreWriter>();
  const cache = newTextCache();

  const writerOf = (topic: string): StoreWriter => {
    const known = writers.get(topic);
    if (known) return known;
    const created = newStoreWriter({ clock, log, store, topic, producer });
    writers.set(topic, created);
    return created;
  };

  /** @returns where the text stands; null when that is not known by the deadline */
  const write = async (
    batch: string,
    text: string,
    deadline: number,
  ): Promise<TextPlace | null> => {
    const topic = topicOf(batch);
    const pieces = piecesOf(text);
    const { offset } = await writerOf(topic).place(pieces, deadline);
    if (offset === null) return null;
    pieces.forEach((piece, index) => cache.put(topic, offset + index, piece));
    const bytes = pieces.reduce((sum, piece) => sum + piece.length, 0);
    return { topic, offset, count: pieces.length, bytes };
  };

  return { write, read: newTextReader({ clock, log, store, cache }) };
};

export type Texts = ReturnType<typeof newTexts>;

export default newTexts;
