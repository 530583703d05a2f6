import type Clock from '@cyclamengate/common/Clock';
import digest from '@cyclamengate/common/digest';
import type { EventLog } from '@cyclamengate/common/newEventLog';
import newStoreWriter from '@cyclamengate/store/newStoreWriter';
import type { StoreWriter } from '@cyclamengate/store/newStoreWriter';
import type Store from '@cyclamengate/store/Store';
import type { TextPlace } from './batchRecord.js';
import newTextCache from './newTextCache.js';

/** Texts of one batch lie together; those of batches that run at the same time mostly apart. */
const TOPICS = 8;
/** A record's most bytes in the store are 262,144. */
const MOST_RECORD_BYTES = 250_000;
/** Records of other batches lie between several that are wanted; one read should bring all. */
const READ_FACTOR = 2;
/** What a page has beside its records' bytes. */
const PAGE_OVERHEAD_BYTES = 1_024;
const LEAST_READ_KB = 16;
const MOST_READ_KB = 1_024;
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

  const offsetsOf = ({ offset, count }: TextPlace): number[] =>
    Array.from({ length: count }, (_, index) => offset + index);

  const isMissing = (place: TextPlace, found: Map<string, Buffer>): boolean =>
    offsetsOf(place).some((offset) => !found.has(`${place.topic}/${offset}`));

  /** @returns why the store gave none of them; null where it gave some */
  const readMissing = async (
    missing: TextPlace[],
    found: Map<string, Buffer>,
    effort: ReadEffort,
  ): Promise<string | null> => {
    const [first] = [...missing].sort((left, right) => left.offset - right.offset);
    if (!first) return null;
    const same = missing.filter(({ topic }) => topic === first.topic);
    const bytes = same.reduce((sum, place) => sum + place.bytes, 0);
    const pageBytes = (same.length > 1 ? bytes * READ_FACTOR : bytes) + PAGE_OVERHEAD_BYTES;
    const kb = Math.ceil(pageBytes / BYTES_IN_KB);
    const mostKb = Math.min(MOST_READ_KB, Math.max(LEAST_READ_KB, kb));
    effort.reads += 1;
    const page = await store.read(first.topic, first.offset, 0, undefined, mostKb);
    if (!page.ok) {
      log.warn('texts.read-failed', { topic: first.topic, from: first.offset, fault: page.val });
      return page.val.type;
    }
    page.val.records.forEach(({ offset, body }) => {
      effort.bytes += body.length;
      found.set(`${first.topic}/${offset}`, body);
      cache.put(first.topic, offset, body);
    });
    return page.val.records.length > 0 ? null : 'no-records';
  };

  /** What reading from the store took, so that a text that is late can be told from one that is gone. */
  const noteEffort = (
    missing: TextPlace[],
    { startedAt, ...effort }: ReadEffort,
    fault: string | null,
  ): void => {
    const took = { ...effort, tookMs: Math.round(clock.now() - startedAt) };
    if (fault === null) log.info('texts.read', took);
    else log.warn('texts.unread', { ...took, fault, missing: missing.length, first: missing[0] });
  };

  /** @returns the texts in the same order; null when the store does not give them by the deadline */
  const read = async (places: (TextPlace | null)[], deadline: number): Promise<string[] | null> => {
    const wanted = places.flatMap((place) => (place ? [place] : []));
    const found = new Map<string, Buffer>();
    wanted.forEach((place) =>
      offsetsOf(place).forEach((offset) => {
        const cached = cache.get(place.topic, offset);
        if (cached) found.set(`${place.topic}/${offset}`, cached);
      }),
    );
    let missing = wanted.filter((place) => isMissing(place, found));
    let fault: string | null = null;
    const effort = { wanted: wanted.length, reads: 0, bytes: 0, startedAt: clock.now() };
    while (missing.length > 0 && fault === null) {
      fault = clock.now() >= deadline ? 'late' : await readMissing(missing, found, effort);
      missing = missing.filter((place) => isMissing(place, found));
    }
    if (effort.reads > 0 || fault !== null) noteEffort(missing, effort, fault);
    if (fault !== null) return null;
    const textOf = (place: TextPlace): string =>
      Buffer.concat(
        offsetsOf(place).flatMap((offset) => found.get(`${place.topic}/${offset}`) ?? []),
      ).toString();
    return places.map((place) => (place ? textOf(place) : ''));
  };

  return { write, read };
};

export type Texts = ReturnType<typeof newTexts>;

export default newTexts;
