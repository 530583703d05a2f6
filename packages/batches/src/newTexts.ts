import type Clock from '@cyclamengate/common/Clock';
import digest from '@cyclamengate/common/digest';
import type { EventLog } from '@cyclamengate/common/newEventLog';
import newStoreWriter from '@cyclamengate/store/newStoreWriter';
import type { StoreWriter } from '@cyclamengate/store/newStoreWriter';
import type Store from '@cyclamengate/store/Store';
import type { TextPlace } from './batchRecord.js';
import newTextCache from './newTextCache.js';

/**
 * Texts of one batch lie together; those of batches that run at the same time mostly apart, so that
 * a page is nearly all of one batch. The store allows a hundred topics.
 */
const TOPICS = 32;
/** A record's most bytes in the store are 262,144. */
const MOST_RECORD_BYTES = 250_000;
/** Records of other batches lie between several that are wanted; one read should bring all. */
const READ_FACTOR = 2;
/** A record's length stands before it in a page. */
const FRAME_BYTES = 4;
/** How far before the text of an earlier result that of a later one may stand. */
const NEAR_RECORDS = 64;
const LEAST_READ_KB = 16;
/** A weak host's link of 42 Mbit/s carries so much in 50 ms. */
const MOST_READ_KB = 256;
const BYTES_IN_KB = 1_024;

export interface TextsOptions {
  clock: Clock;
  log: EventLog;
  store: Store;
  /** Unique to this run of the process. */
  producer: string;
}

/** What one reading of texts took until now. */
interface ReadEffort {
  wanted: number;
  reads: number;
  bytes: number;
  /** On the monotonic clock. */
  startedAt: number;
}

/** One record of a text. */
interface RecordPlace {
  topic: string;
  offset: number;
  bytes: number;
}

interface NextRead {
  from: number;
  kb: number;
}

const keyOf = ({ topic, offset }: Pick<RecordPlace, 'topic' | 'offset'>): string =>
  `${topic}/${offset}`;

/** The records of a text, as `piecesOf` cut it; none where there is no text. */
const recordsOf = (place: TextPlace | null): RecordPlace[] =>
  Array.from({ length: place?.count ?? 0 }, (_, index) => ({
    topic: place?.topic ?? '',
    offset: (place?.offset ?? 0) + index,
    bytes: Math.min(MOST_RECORD_BYTES, (place?.bytes ?? 0) - index * MOST_RECORD_BYTES),
  }));

const piecesOf = (text: string): Buffer[] => {
  const whole = Buffer.from(text);
  const count = Math.max(1, Math.ceil(whole.length / MOST_RECORD_BYTES));
  return Array.from({ length: count }, (_, index) =>
    whole.subarray(index * MOST_RECORD_BYTES, (index + 1) * MOST_RECORD_BYTES),
  );
};

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

  /**
   * Where to read next, for the first record that is missing. Texts are written nearly in the order of
   * their results: records a little before it are wanted as well, and one page should bring all.
   */
  const nextRead = (missing: RecordPlace[], first: RecordPlace): NextRead => {
    const near = missing.filter(
      ({ topic, offset }) => topic === first.topic && offset >= first.offset - NEAR_RECORDS,
    );
    const from = Math.min(...near.map(({ offset }) => offset));
    const bytes = near.reduce((sum, record) => sum + record.bytes + FRAME_BYTES, 0);
    const kb = Math.ceil((near.length > 1 ? bytes * READ_FACTOR : bytes) / BYTES_IN_KB);
    return { from, kb: Math.min(MOST_READ_KB, Math.max(LEAST_READ_KB, kb)) };
  };

  /** @returns why the store gave none of them; null where it gave some */
  const readMissing = async (
    missing: RecordPlace[],
    found: Map<string, Buffer>,
    effort: ReadEffort,
  ): Promise<string | null> => {
    const [first] = missing;
    if (!first) return null;
    const { topic } = first;
    const { from, kb } = nextRead(missing, first);
    effort.reads += 1;
    const page = await store.read(topic, from, 0, undefined, kb);
    if (!page.ok) {
      log.warn('texts.read-failed', { topic, from, fault: page.val });
      return page.val.type;
    }
    page.val.records.forEach(({ offset, body }) => {
      effort.bytes += body.length;
      found.set(keyOf({ topic, offset }), body);
      cache.put(topic, offset, body);
    });
    return page.val.records.length > 0 ? null : 'no-records';
  };

  /** What reading from the store took, so that a text that is late can be told from one that is gone. */
  const noteEffort = (
    missing: RecordPlace[],
    { startedAt, ...effort }: ReadEffort,
    fault: string | null,
  ): void => {
    const took = { ...effort, tookMs: Math.round(clock.now() - startedAt) };
    if (fault === null) log.info('texts.read', took);
    else log.warn('texts.unread', { ...took, fault, missing: missing.length, first: missing[0] });
  };

  const findCached = (records: RecordPlace[]): Map<string, Buffer> =>
    new Map(
      records.flatMap((record): [string, Buffer][] => {
        const body = cache.get(record.topic, record.offset);
        return body ? [[keyOf(record), body]] : [];
      }),
    );

  /**
   * Reads texts until all are there, the store fails, or the deadline passes.
   *
   * Texts may lie far apart, and a weak link takes longer for them than a caller waits. What has come
   * by then is of no use to the host that is asked next: were a reading all or nothing, every host
   * would refuse it for ever.
   * @returns the texts that are there, in the same order, up to the first that is not
   */
  const read = async (places: (TextPlace | null)[], deadline: number): Promise<string[]> => {
    const records = places.flatMap(recordsOf);
    const found = findCached(records);
    const isMissing = (record: RecordPlace): boolean => !found.has(keyOf(record));
    let missing = records.filter(isMissing);
    let fault: string | null = null;
    const effort = { wanted: places.length, reads: 0, bytes: 0, startedAt: clock.now() };
    while (missing.length > 0 && fault === null) {
      fault = clock.now() >= deadline ? 'late' : await readMissing(missing, found, effort);
      missing = missing.filter(isMissing);
    }
    if (effort.reads > 0 || fault !== null) noteEffort(missing, effort, fault);
    const firstUnread = places.findIndex((place) => recordsOf(place).some(isMissing));
    const there = firstUnread === -1 ? places : places.slice(0, firstUnread);
    const bodyOf = (record: RecordPlace): Buffer[] => [found.get(keyOf(record)) ?? []].flat();
    return there.map((place) => Buffer.concat(recordsOf(place).flatMap(bodyOf)).toString());
  };

  return { write, read };
};

export type Texts = ReturnType<typeof newTexts>;

export default newTexts;
