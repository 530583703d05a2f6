import type Clock from '@cyclamengate/common/Clock';
import digest from '@cyclamengate/common/digest';
import type { EventLog } from '@cyclamengate/common/newEventLog';
import newStoreWriter from '@cyclamengate/store/newStoreWriter';
import type { StoreWriter } from '@cyclamengate/store/newStoreWriter';
import type Store from '@cyclamengate/store/Store';
import type { TextPlace, TextRun } from './batchRecord.js';
import newTextCache from './newTextCache.js';
import newTextReader from './newTextReader.js';
import { joinRuns, splitIntoAppends, splitIntoRecords } from './textRecords.js';

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

const hashBatch = (batch: string): number => Number.parseInt(digest(batch).slice(0, 4), 16);

const topicForTexts = (batch: string): string => `texts-${hashBatch(batch) % TOPIC_COUNT}`;

/**
 * Large requests lie apart from texts, which are read in pages. Their parts follow one another in
 * several topics, so that they are written at once.
 */
const topicForRequests = (batch: string, part: number): string =>
  `requests-${(hashBatch(batch) + part) % TOPIC_COUNT}`;

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
  const reader = newTextReader({ clock, log, store, cache });

  const getWriter = (topic: string): StoreWriter => {
    const known = writers.get(topic);
    if (known) return known;
    const created = newStoreWriter({ clock, log, store, topic, producer });
    writers.set(topic, created);
    return created;
  };

  const writeRecords = async (
    topic: string,
    records: Buffer[],
    deadline: number,
  ): Promise<TextRun | null> => {
    const { offset } = await getWriter(topic).writeWithOffset(records, deadline);
    if (offset === null) return null;
    const bytes = records.reduce((sum, record) => sum + record.length, 0);
    return { topic, offset, count: records.length, bytes };
  };

  /**
   * Writes a part of a batch's requests that fits into one append, and is unlikely to be read here.
   * @param part number of the part within what is written for the batch
   * @returns the location of the bytes; null if it is not known by the deadline
   */
  const writePart = (
    batch: string,
    part: number,
    bytes: Buffer,
    deadline: number,
  ): Promise<TextRun | null> =>
    writeRecords(topicForRequests(batch, part), splitIntoRecords(bytes), deadline);

  /**
   * Writes a text, in several appends if it is too large for one.
   * @returns the location of the text; null if it is not known by the deadline
   */
  const write = async (
    batch: string,
    text: string | Buffer,
    deadline: number,
  ): Promise<TextPlace | null> => {
    const topic = topicForTexts(batch);
    const runs: TextRun[] = [];
    for (const part of splitIntoAppends(Buffer.from(text))) {
      const records = splitIntoRecords(part);
      const run = await writeRecords(topic, records, deadline);
      if (run === null) return null;
      records.forEach((record, index) => cache.put(topic, run.offset + index, record));
      runs.push(run);
    }
    const [first, ...rest] = runs;
    return first ? joinRuns([first, ...rest]) : null;
  };

  return {
    write,
    writePart,
    /** Reads texts; see `newTextReader`. */
    read: async (places: (TextPlace | null)[], deadline: number): Promise<string[]> =>
      (await reader(places, deadline)).map((bytes) => bytes.toString()),
    readBytes: reader,
  };
};

export type Texts = ReturnType<typeof newTexts>;

export default newTexts;
