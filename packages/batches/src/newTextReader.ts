import type Clock from '@cyclamengate/common/Clock';
import type { EventLog } from '@cyclamengate/common/newEventLog';
import within from '@cyclamengate/common/within';
import type Store from '@cyclamengate/store/Store';
import type { StoreFault } from '@cyclamengate/store/storeFault';
import type { TextPlace } from './batchRecord.js';
import type { TextCache } from './newTextCache.js';
import planTextRead from './planTextRead.js';
import { keyOf, recordsOf } from './textRecords.js';
import type { RecordPlace } from './textRecords.js';

/** A weak host's link of 42 Mbit/s carries the first page in 0.1 s; a busy store gives a small one no sooner. */
const FIRST_READ_KB = 512;
const MOST_READ_KB = 1_024;
/** A page that came within this may be followed by one of twice its size. */
const QUICK_MS = 50;
/** While the first text is not there, a caller that gets nothing is worse off than one that waits on. */
const EMPTY_GRACE_MS = 500;
/** How long beyond the deadline a call is waited for that has begun before it. */
const CALL_GRACE_MS = 100;
/** A call that nobody waits for is ended then; until then it may bring something for the next caller. */
const ABANDONED_MS = 300;
/** Calls without an answer that are tried again, and the first pause, which doubles. */
const MOST_RETRIES = 2;
const RETRY_MS = 25;

/** Why a reading ends before all is there. */
type ReadFault = 'late' | 'no-records' | 'misplaced' | StoreFault['type'];

type CallOutcome = { type: 'go-on' } | { type: 'over'; fault: ReadFault };

const GO_ON: CallOutcome = { type: 'go-on' };

export interface TextReaderOptions {
  clock: Clock;
  log: EventLog;
  store: Store;
  cache: TextCache;
}

/** One reading of texts, until now. */
interface Reading {
  /** Whether a caller that is answered now gets anything. */
  hasFirst: () => boolean;
  deadline: number;
  found: Map<string, Buffer>;
  missing: RecordPlace[];
  mostKb: number;
  mayBeginBefore: boolean;
  retries: number;
  reads: number;
  bytes: number;
}

const isIn = (found: Map<string, Buffer>, record: RecordPlace): boolean =>
  found.get(keyOf(record))?.length === record.bytes;

const textOf = (found: Map<string, Buffer>, place: TextPlace | null): string =>
  Buffer.concat(
    recordsOf(place).map((record) => found.get(keyOf(record)) ?? Buffer.alloc(0)),
  ).toString();

/** Reads texts from the store, or from what was read or written here lately. */
const newTextReader = ({ clock, log, store, cache }: TextReaderOptions) => {
  const findCached = (records: RecordPlace[]): Map<string, Buffer> => {
    const found = new Map<string, Buffer>();
    records.forEach((record) => {
      const body = cache.get(record.topic, record.offset);
      if (body?.length === record.bytes) found.set(keyOf(record), body);
    });
    return found;
  };

  /** A call without an answer may have met a dead connection; a page may begin before what is kept. */
  const meetFault = async (
    reading: Reading,
    fault: StoreFault,
    beganBefore: boolean,
  ): Promise<CallOutcome> => {
    if (fault.type === 'expired' && beganBefore) {
      reading.mayBeginBefore = false;
      return GO_ON;
    }
    if (fault.type !== 'unknown' || reading.retries >= MOST_RETRIES)
      return { type: 'over', fault: fault.type };
    await clock.sleepUntil(clock.now() + RETRY_MS * 2 ** reading.retries);
    reading.retries += 1;
    return GO_ON;
  };

  const call = async (
    reading: Reading,
    first: RecordPlace,
    signal: AbortSignal,
  ): Promise<CallOutcome> => {
    const { topic, from, mostKb } = planTextRead(reading.missing, first, reading);
    const askedAt = clock.now();
    const page = await store.read(topic, from, 0, signal, mostKb);
    if (!page.ok) {
      log.warn('texts.read-failed', { topic, from, fault: page.val });
      return meetFault(reading, page.val, from < first.offset);
    }
    const { records } = page.val;
    records.forEach(({ offset, body }) => {
      reading.bytes += body.length;
      reading.found.set(keyOf({ topic, offset }), body);
      cache.put(topic, offset, body);
    });
    reading.mayBeginBefore = isIn(reading.found, first);
    const isQuick = clock.now() < askedAt + QUICK_MS;
    if (isQuick) reading.mostKb = Math.min(MOST_READ_KB, Math.max(reading.mostKb, 2 * mostKb));
    return records.length > 0 ? GO_ON : { type: 'over', fault: 'no-records' };
  };

  const readNext = async (reading: Reading, first: RecordPlace): Promise<CallOutcome> => {
    // A record of another size is another text: the place is wrong, and giving it would be worse.
    if (reading.found.has(keyOf(first))) return { type: 'over', fault: 'misplaced' };
    const until = reading.deadline + (reading.hasFirst() ? 0 : EMPTY_GRACE_MS);
    if (clock.now() >= until) return { type: 'over', fault: 'late' };
    reading.reads += 1;
    const abandoned = new AbortController();
    const outcome = await within(
      clock,
      call(reading, first, abandoned.signal),
      until + CALL_GRACE_MS,
    );
    if (outcome) return outcome;
    clock.sleepUntil(clock.now() + ABANDONED_MS).then(() => abandoned.abort(new Error('late')));
    return { type: 'over', fault: 'late' };
  };

  /** What a reading took, so that a text that is late can be told from one that is gone. */
  const note = (reading: Reading, startedAt: number, fault: ReadFault | null): void => {
    const { reads, bytes, missing } = reading;
    const took = { reads, bytes, tookMs: Math.round(clock.now() - startedAt) };
    if (fault !== null) {
      log.warn('texts.unread', { ...took, fault, missing: missing.length, first: missing[0] });
    } else if (reads > 0) log.info('texts.read', took);
  };

  const newReading = (places: (TextPlace | null)[], deadline: number): Reading => {
    const records = places.flatMap(recordsOf);
    const found = findCached(records);
    const firstRecords = recordsOf(places[0] ?? null);
    return {
      hasFirst: () => firstRecords.every((record) => isIn(found, record)),
      deadline,
      found,
      missing: records.filter((record) => !isIn(found, record)),
      mostKb: FIRST_READ_KB,
      mayBeginBefore: false,
      retries: 0,
      reads: 0,
      bytes: 0,
    };
  };

  /**
   * Reads texts until all are there, the store refuses, a place is wrong, or time is up.
   *
   * Texts may lie far apart, and a weak link takes longer for them than a caller waits. What has come
   * by then is of no use to the host that is asked next: were a reading all or nothing, every host
   * would refuse it for ever.
   * @param deadline on the monotonic clock; it takes up to 0.6 s longer where nothing is there yet
   * @returns the texts that are there, in the same order, up to the first that is not
   */
  return async (places: (TextPlace | null)[], deadline: number): Promise<string[]> => {
    const startedAt = clock.now();
    const reading = newReading(places, deadline);
    const { found } = reading;
    let fault: ReadFault | null = null;
    for (let [first] = reading.missing; first && fault === null; [first] = reading.missing) {
      const outcome = await readNext(reading, first);
      if (outcome.type === 'over') fault = outcome.fault;
      reading.missing = reading.missing.filter((record) => !isIn(found, record));
    }
    note(reading, startedAt, fault);
    const isWhole = (place: TextPlace | null): boolean =>
      recordsOf(place).every((record) => isIn(found, record));
    const firstUnread = places.findIndex((place) => !isWhole(place));
    const there = firstUnread === -1 ? places : places.slice(0, firstUnread);
    return there.map((place) => textOf(found, place));
  };
};

export default newTextReader;
