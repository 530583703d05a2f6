import type Clock from '@cyclamengate/common/Clock';
import digest from '@cyclamengate/common/digest';
import type { EventLog } from '@cyclamengate/common/newEventLog';
import newStoreWriter from '@cyclamengate/store/newStoreWriter';
import type { StoreWriter } from '@cyclamengate/store/newStoreWriter';
import type Store from '@cyclamengate/store/Store';
import type { TextPlace } from './batchRecord.js';
import newTextCache from './newTextCache.js';
import newTextReader from './newTextReader.js';
import { splitText } from './textRecords.js';

/**
 * Texts of one batch share a topic; those of concurrent batches are mostly in different topics, so
 * that nearly all of a page belongs to one batch. The store allows a hundred topics.
 */
const TOPIC_COUNT = 32;

export interface TextsOptions {
  clock: Clock;
  log: EventLog;
  store: Store;
  /** Producer id, unique to this incarnation of the process. */
  producer: string;
}

const topicForBatch = (batch: string): string =>
  `texts-${Number.parseInt(digest(batch).slice(0, 4), 16) % TOPIC_COUNT}`;

/**
 * Stores complete texts of items separately from the records that all hosts follow.
 *
 * Texts are nine tenths of all bytes. If they were in the log that all hosts follow, each host
 * would read them all, and after a restart of all hosts no work could start before that: ten hosts
 * took 3.4 s for 26 MB each, limited by the store's 80 MB/s. So a result contains the location of
 * its text, and the host that is asked for the text reads it on demand.
 */
const newTexts = ({ clock, log, store, producer }: TextsOptions) => {
  const writers = new Map<string, StoreWriter>();
  const cache = newTextCache();

  const getWriter = (topic: string): StoreWriter => {
    const known = writers.get(topic);
    if (known) return known;
    const created = newStoreWriter({ clock, log, store, topic, producer });
    writers.set(topic, created);
    return created;
  };

  /** @returns the location of the text; null if it is not known by the deadline */
  const write = async (
    batch: string,
    text: string,
    deadline: number,
  ): Promise<TextPlace | null> => {
    const topic = topicForBatch(batch);
    const pieces = splitText(text);
    const { offset } = await getWriter(topic).writeWithOffset(pieces, deadline);
    if (offset === null) return null;
    pieces.forEach((piece, index) => cache.put(topic, offset + index, piece));
    const bytes = pieces.reduce((sum, piece) => sum + piece.length, 0);
    return { topic, offset, count: pieces.length, bytes };
  };

  return { write, read: newTextReader({ clock, log, store, cache }) };
};

export type Texts = ReturnType<typeof newTexts>;

export default newTexts;
