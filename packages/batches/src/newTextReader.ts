import type Clock from '@cyclamengate/common/Clock';
import type { EventLog } from '@cyclamengate/common/newEventLog';
import withDeadline from '@cyclamengate/common/withDeadline';
import type Store from '@cyclamengate/store/Store';
import type { StoreFault } from '@cyclamengate/store/storeFault';
import type { TextPlace } from './batchRecord.js';
import type { TextCache } from './newTextCache.js';
import planTextRead from './planTextRead.js';
import { recordKey, recordPlaces, textBytes } from './textRecords.js';
import type { RecordPlace } from './textRecords.js';

/**
 * A slow host's link of 42 Mbit/s transfers the first page in 0.1 s; a busy store does not return a
 * smaller one any sooner.
 */
const INITIAL_READ_KB = 512;
const MAX_READ_KB = 1_024;
/** The page size may double after a page that arrives within this time. */
const FAST_READ_MS = 50;
/**
 * Additional time while the first text is missing: an empty response is worse for a caller than a
 * longer wait.
 */
const FIRST_TEXT_GRACE_MS = 500;
/** Time beyond the deadline for which a call that was started before it is waited for. */
const CALL_GRACE_MS = 100;
/**
 * Time after which a call that is no longer waited for is aborted; until then it may fill the cache
 * for the next caller.
 */
const ABANDONED_CALL_TIMEOUT_MS = 300;
/** Number of retries of unanswered calls. */
const MAX_RETRIES = 2;
/** Backoff before the first retry; doubles with each further one. */
const INITIAL_BACKOFF_MS = 25;

/** Reason why a read ends before all texts are available. */
type ReadFault = 'late' | 'no-records' | 'misplaced' | StoreFault['type'];

type CallOutcome = { type: 'go-on' } | { type: 'over'; fault: ReadFault };

const CONTINUE: CallOutcome = { type: 'go-on' };

/** Texts larger than this are not cached, since they would evict all others. */
const MAX_CACHED_TEXT_BYTES = 1_000_000;
/** Neighbours of texts that are larger than texts of items are no texts, and are not read soon. */
const MAX_CACHED_RECORD_BYTES = 131_072;

export interface TextReaderOptions {
  clock: Clock;
  log: EventLog;
  store: Store;
  cache: TextCache;
}

/** State of one read of texts. */
interface ReadState {
  /** Whether the first text is available, so that a response would not be empty. */
  hasFirstText: () => boolean;
  deadline: number;
  /** Copies, since a record is a slice of a page that would stay in memory as a whole. */
  bodies: Map<string, Buffer>;
  wanted: Set<string>;
  isCached: boolean;
  missing: RecordPlace[];
  maxKb: number;
  mayStartEarlier: boolean;
  retries: number;
  reads: number;
  bytes: number;
}

const hasRecord = (bodies: Map<string, Buffer>, record: RecordPlace): boolean =>
  bodies.get(recordKey(record))?.length === record.bytes;

const joinText = (bodies: Map<string, Buffer>, place: TextPlace | null): Buffer =>
  Buffer.concat(
    recordPlaces(place).map((record) => bodies.get(recordKey(record)) ?? Buffer.alloc(0)),
  );

/** Reads texts from the store or from the cache. */
const newTextReader = ({ clock, log, store, cache }: TextReaderOptions) => {
  const findCached = (records: RecordPlace[]): Map<string, Buffer> => {
    const bodies = new Map<string, Buffer>();
    records.forEach((record) => {
      const body = cache.get(record.topic, record.offset);
      if (body?.length === record.bytes) bodies.set(recordKey(record), body);
    });
    return bodies;
  };

  /**
   * Retries after an unanswered call, whose connection may be dead, and after a page that started
   * before the oldest retained record.
   */
  const handleFault = async (
    state: ReadState,
    fault: StoreFault,
    startedEarlier: boolean,
  ): Promise<CallOutcome> => {
    if (fault.type === 'expired' && startedEarlier) {
      state.mayStartEarlier = false;
      return CONTINUE;
    }
    if (fault.type !== 'unknown' || state.retries >= MAX_RETRIES)
      return { type: 'over', fault: fault.type };
    await clock.sleepUntil(clock.now() + INITIAL_BACKOFF_MS * 2 ** state.retries);
    state.retries += 1;
    return CONTINUE;
  };

  const readPage = async (
    state: ReadState,
    first: RecordPlace,
    signal: AbortSignal,
  ): Promise<CallOutcome> => {
    const { topic, from, maxKb } = planTextRead(state.missing, first, state);
    const startedAt = clock.now();
    const page = await store.read(topic, from, 0, signal, maxKb);
    if (!page.ok) {
      log.warn('texts.read-failed', { topic, from, fault: page.val });
      return handleFault(state, page.val, from < first.offset);
    }
    const { records } = page.val;
    records.forEach(({ offset, body }) => {
      state.bytes += body.length;
      const key = recordKey({ topic, offset });
      if (state.wanted.has(key)) state.bodies.set(key, Buffer.from(body));
      const isCached = state.isCached && body.length <= MAX_CACHED_RECORD_BYTES;
      if (isCached) cache.put(topic, offset, body);
    });
    state.mayStartEarlier = hasRecord(state.bodies, first);
    const isFast = clock.now() < startedAt + FAST_READ_MS;
    if (isFast) state.maxKb = Math.min(MAX_READ_KB, Math.max(state.maxKb, 2 * maxKb));
    return records.length > 0 ? CONTINUE : { type: 'over', fault: 'no-records' };
  };

  const readNext = async (state: ReadState, first: RecordPlace): Promise<CallOutcome> => {
    // A record of another size belongs to another text: the location is wrong, and returning the
    // record would be worse than returning nothing.
    if (state.bodies.has(recordKey(first))) return { type: 'over', fault: 'misplaced' };
    const until = state.deadline + (state.hasFirstText() ? 0 : FIRST_TEXT_GRACE_MS);
    if (clock.now() >= until) return { type: 'over', fault: 'late' };
    state.reads += 1;
    const abandoned = new AbortController();
    const outcome = await withDeadline(
      clock,
      readPage(state, first, abandoned.signal),
      until + CALL_GRACE_MS,
    );
    if (outcome) return outcome;
    void clock
      .sleepUntil(clock.now() + ABANDONED_CALL_TIMEOUT_MS)
      .then(() => abandoned.abort(new Error('late')));
    return { type: 'over', fault: 'late' };
  };

  /** Logs the cost of a read, so that a late text can be distinguished from a missing one. */
  const logRead = (state: ReadState, startedAt: number, fault: ReadFault | null): void => {
    const { reads, bytes, missing } = state;
    const stats = { reads, bytes, tookMs: Math.round(clock.now() - startedAt) };
    if (fault !== null) {
      log.warn('texts.unread', { ...stats, fault, missing: missing.length, first: missing[0] });
    } else if (reads > 0) log.info('texts.read', stats);
  };

  const newReadState = (places: (TextPlace | null)[], deadline: number): ReadState => {
    const records = places.flatMap(recordPlaces);
    const bodies = findCached(records);
    const firstRecords = recordPlaces(places[0] ?? null);
    return {
      hasFirstText: () => firstRecords.every((record) => hasRecord(bodies, record)),
      deadline,
      bodies,
      wanted: new Set(records.map(recordKey)),
      isCached: places.every((place) => textBytes(place) <= MAX_CACHED_TEXT_BYTES),
      missing: records.filter((record) => !hasRecord(bodies, record)),
      maxKb: INITIAL_READ_KB,
      mayStartEarlier: false,
      retries: 0,
      reads: 0,
      bytes: 0,
    };
  };

  /**
   * Reads texts until all are available, the store refuses, a location is wrong, or time is up.
   *
   * Texts may be far apart, and over a slow link they take longer than a caller waits. What one
   * host has read by then is of no use to the host that is asked next: if a read returned either
   * all texts or none, every host would refuse the caller for ever.
   * @param deadline on the monotonic clock; exceeded by up to 0.6 s if no text is available yet
   * @returns the available texts in the same order, up to the first one that is missing
   */
  return async (places: (TextPlace | null)[], deadline: number): Promise<Buffer[]> => {
    const startedAt = clock.now();
    const state = newReadState(places, deadline);
    const { bodies } = state;
    let fault: ReadFault | null = null;
    for (let [first] = state.missing; first && fault === null; [first] = state.missing) {
      const outcome = await readNext(state, first);
      if (outcome.type === 'over') fault = outcome.fault;
      state.missing = state.missing.filter((record) => !hasRecord(bodies, record));
    }
    logRead(state, startedAt, fault);
    const isAvailable = (place: TextPlace | null): boolean =>
      recordPlaces(place).every((record) => hasRecord(bodies, record));
    const firstUnread = places.findIndex((place) => !isAvailable(place));
    const available = firstUnread === -1 ? places : places.slice(0, firstUnread);
    return available.map((place) => joinText(bodies, place));
  };
};

export default newTextReader;
