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

/** A weak host's link of 42 Mbit/s carries the first call's page in 50 ms. */
const FIRST_READ_KB = 256;
const MOST_READ_KB = 1_024;
/** A page that came within this may be followed by one of twice its size. */
const QUICK_MS = 50;
/** A call is waited for so long beyond the deadline; what it brings later is there for the next caller. */
const LATE_MS = 100;
/** Pause after a call without an answer: its connection may have been dead. */
const RETRY_MS = 25;

/** Why a reading ends before all is there. */
type ReadFault = 'late' | 'no-records' | 'misplaced' | StoreFault['type'];

export interface TextReaderOptions {
  clock: Clock;
  log: EventLog;
  store: Store;
  cache: TextCache;
}

/** One reading of texts, until now. */
interface Reading {
  deadline: number;
  found: Map<string, Buffer>;
  missing: RecordPlace[];
  mostKb: number;
  mayBeginBefore: boolean;
  reads: number;
  bytes: number;
}

/** Reads texts from the store, or from what was read or written here lately. */
const newTextReader = ({ clock, log, store, cache }: TextReaderOptions) => {
  const isIn = (found: Map<string, Buffer>, record: RecordPlace): boolean =>
    found.get(keyOf(record))?.length === record.bytes;

  const findCached = (records: RecordPlace[]): Map<string, Buffer> =>
    new Map(
      records.flatMap((record): [string, Buffer][] => {
        const body = cache.get(record.topic, record.offset);
        return body ? [[keyOf(record), body]] : [];
      }),
    );

  const call = async (reading: Reading, first: RecordPlace): Promise<ReadFault | null> => {
    const { topic, from, mostKb } = planTextRead(reading.missing, first, reading);
    const askedAt = clock.now();
    const page = await store.read(topic, from, 0, undefined, mostKb);
    if (!page.ok) {
      log.warn('texts.read-failed', { topic, from, fault: page.val });
      if (page.val.type !== 'unknown') return page.val.type;
      await clock.sleepUntil(clock.now() + RETRY_MS);
      return null;
    }
    page.val.records.forEach(({ offset, body }) => {
      reading.bytes += body.length;
      reading.found.set(keyOf({ topic, offset }), body);
      cache.put(topic, offset, body);
    });
    reading.mayBeginBefore = isIn(reading.found, first);
    if (clock.now() < askedAt + QUICK_MS)
      reading.mostKb = Math.min(MOST_READ_KB, 2 * reading.mostKb);
    return page.val.records.length > 0 ? null : 'no-records';
  };

  const readNext = async (reading: Reading): Promise<ReadFault | null> => {
    const [first] = reading.missing;
    if (!first) return null;
    // A record of another size is another text: the place is wrong, and giving it would be worse.
    if (reading.found.has(keyOf(first))) return 'misplaced';
    if (clock.now() >= reading.deadline) return 'late';
    reading.reads += 1;
    const done = call(reading, first).then((fault) => ({ fault }));
    const inTime = await within(clock, done, reading.deadline + LATE_MS);
    return inTime ? inTime.fault : 'late';
  };

  /** What a reading took, so that a text that is late can be told from one that is gone. */
  const note = (reading: Reading, startedAt: number, fault: ReadFault | null): void => {
    const { reads, bytes, missing } = reading;
    const took = { reads, bytes, tookMs: Math.round(clock.now() - startedAt) };
    if (fault !== null) {
      log.warn('texts.unread', { ...took, fault, missing: missing.length, first: missing[0] });
    } else if (reads > 0) log.info('texts.read', took);
  };

  /**
   * Reads texts until all are there, the store fails, or the deadline passes.
   *
   * Texts may lie far apart, and a weak link takes longer for them than a caller waits. What has come
   * by then is of no use to the host that is asked next: were a reading all or nothing, every host
   * would refuse it for ever.
   * @returns the texts that are there, in the same order, up to the first that is not
   */
  return async (places: (TextPlace | null)[], deadline: number): Promise<string[]> => {
    const startedAt = clock.now();
    const records = places.flatMap(recordsOf);
    const found = findCached(records);
    const isMissing = (record: RecordPlace): boolean => !isIn(found, record);
    const reading = {
      deadline,
      found,
      missing: records.filter(isMissing),
      mostKb: FIRST_READ_KB,
      mayBeginBefore: true,
      reads: 0,
      bytes: 0,
    };
    let fault: ReadFault | null = null;
    while (reading.missing.length > 0 && fault === null) {
      fault = await readNext(reading);
      reading.missing = reading.missing.filter(isMissing);
    }
    note(reading, startedAt, fault);
    const firstUnread = places.findIndex((place) => recordsOf(place).some(isMissing));
    const there = firstUnread === -1 ? places : places.slice(0, firstUnread);
    const bodyOf = (record: RecordPlace): Buffer[] => [found.get(keyOf(record)) ?? []].flat();
    return there.map((place) => Buffer.concat(recordsOf(place).flatMap(bodyOf)).toString());
  };
};

export default newTextReader;
