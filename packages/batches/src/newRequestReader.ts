import type Clock from '@cyclamengate/common/Clock';
import type { EventLog } from '@cyclamengate/common/newEventLog';
import type { MemoryBudget, MemoryLease } from '@cyclamengate/common/newMemoryBudget';
import mapById from './mapById.js';
import type { Item, ItemRequest, TextPlace } from './batchRecord.js';
import { MAX_HELD_BYTES } from './newBatchIntake.js';
import type { BatchState } from './newBatchState.js';
import newSegmentCache from './newSegmentCache.js';
import type { Texts } from './newTexts.js';
import { bodyBytes, parseSegment, toItem, toItemRequest } from './requestSegment.js';
import { MAX_APPEND_TEXT_BYTES, runsOf, textBytes } from './textRecords.js';

/** The requests of a step are about 150 KB and are read in tens of milliseconds. */
const READ_TIMEOUT_MS = 700;
/** Rate at which a segment is read at least, over a slow link that others share. */
const MIN_BYTES_PER_MS = 1_000;
/** Delay before a failed read is retried; doubles with each further one. */
const RETRY_DELAY_MS = 100;
/** An item has to run within 5 s of calm. */
const MAX_RETRY_DELAY_MS = 2_000;
/** Segments of which failed reads are remembered; of batches that were evicted they aren't forgotten. */
const MAX_FAILED_SEGMENTS = 10_000;
/** The records of a run are held beside the bytes that they are joined to. */
const COPIES_WHILE_READING = 2;

/** The request of an item for as long as it is needed. */
export interface LoadedRequest {
  request: ItemRequest;
  /** Gives its memory back. */
  release: () => void;
}

/** A segment that was read; it is cached unless it is too large. */
interface ReadSegment {
  items: Map<string, ItemRequest>;
  lease: MemoryLease;
}

const segmentKey = ({ batch }: BatchState, number: number): string => `${batch.id}/${number}`;

export interface RequestReaderOptions {
  clock: Clock;
  log: EventLog;
  memory: MemoryBudget;
  readTexts: Texts['readBytes'];
}

/** A request whose bodies share no memory with its segment, which may be evicted meanwhile. */
const copyRequest = ({ body, scoring, ...fields }: ItemRequest): ItemRequest => ({
  ...fields,
  body: Buffer.from(body),
  scoring: scoring && { ...scoring, body: Buffer.from(scoring.body) },
});

/**
 * Reads the requests of items for the host that runs them or is asked for one.
 *
 * Requests are nine tenths of what is written for a batch. If they were in the topic that all hosts
 * follow, each host would read and parse what only one of them needs, and hosts that start together
 * would share the store's bandwidth for seconds before any of them knew a batch. Even the host that
 * runs a batch reads a large one segment by segment, since it can't hold the whole.
 */
const newRequestReader = ({ clock, log, memory, readTexts }: RequestReaderOptions) => {
  const cache = newSegmentCache(memory);
  const pendingReads = new Map<string, Promise<ReadSegment | null>>();
  /** By segment: reads that failed in a row, and when it may be read again. */
  const failedReads = new Map<string, { count: number; retryAt: number }>();

  const recordFailedRead = (key: string): void => {
    const count = (failedReads.get(key)?.count ?? 0) + 1;
    const delayMs = Math.min(MAX_RETRY_DELAY_MS, RETRY_DELAY_MS * 2 ** (count - 1));
    failedReads.set(key, { count, retryAt: clock.now() + delayMs });
    const [oldest] = failedReads.keys();
    if (failedReads.size > MAX_FAILED_SEGMENTS && oldest !== undefined) failedReads.delete(oldest);
  };

  const retryAt = (key: string): number => failedReads.get(key)?.retryAt ?? -Infinity;

  const isCacheable = (place: TextPlace): boolean => textBytes(place) <= cache.maxBytes;

  /** Reads a segment run by run, so that a large one is held only once. */
  const readRuns = async (place: TextPlace, bytes: number): Promise<Buffer | null> => {
    const segment = Buffer.allocUnsafeSlow(bytes);
    let at = 0;
    for (const run of runsOf(place)) {
      const deadline = clock.now() + READ_TIMEOUT_MS + run.bytes / MIN_BYTES_PER_MS;
      const [read] = await readTexts([run], deadline);
      if (read?.length !== run.bytes) return null;
      at += read.copy(segment, at);
      memory.noteFreed(COPIES_WHILE_READING * run.bytes);
    }
    return segment;
  };

  const readSegment = async (place: TextPlace): Promise<ReadSegment | null> => {
    const bytes = textBytes(place);
    const bytesWhileReading = COPIES_WHILE_READING * Math.min(bytes, MAX_APPEND_TEXT_BYTES);
    const lease = memory.reserve('items', bytes + bytesWhileReading);
    if (!lease) return null;
    const segment = await readRuns(place, bytes);
    const items = segment && parseSegment(segment);
    if (items === null) {
      lease.release();
      return null;
    }
    lease.resize(bytes);
    return { items: mapById(items), lease };
  };

  const read = async (
    key: string,
    state: BatchState,
    place: TextPlace,
  ): Promise<ReadSegment | null> => {
    const segment = await readSegment(place).finally(() => pendingReads.delete(key));
    if (segment === null) {
      recordFailedRead(key);
      log.warn('batch.requests-unread', { segment: key, bytes: textBytes(place) });
      return null;
    }
    failedReads.delete(key);
    // No item of an ended batch runs, so retaining its requests would only use memory.
    if (state.isEnded || !isCacheable(place)) return segment;
    cache.put(key, { ...segment, bytes: textBytes(place) });
    return segment;
  };

  const startRead = (state: BatchState, number: number): Promise<ReadSegment | null> => {
    const key = segmentKey(state, number);
    const pendingRead = pendingReads.get(key);
    if (pendingRead) return pendingRead;
    const place = state.segments[number];
    const isTooSoon = clock.now() < retryAt(key);
    if (!place || isTooSoon) return Promise.resolve(null);
    const started = read(key, state, place);
    // Each reader of a large segment holds one of its own, and gives it back by itself.
    if (isCacheable(place)) pendingReads.set(key, started);
    return started;
  };

  /** Hands out a request of a segment that stays in the cache, or may have been evicted. */
  const lend = (request: ItemRequest): LoadedRequest | null => {
    const lease = memory.reserve('items', bodyBytes(request));
    return lease && { request: copyRequest(request), release: lease.release };
  };

  /** A segment that was read and lacks an item will not have it later. */
  const reportMissing = (key: string, id: string): null => {
    log.warn('batch.request-missing', { segment: key, requestId: id });
    recordFailedRead(key);
    return null;
  };

  const loadFromStore = async (state: BatchState, id: string): Promise<LoadedRequest | null> => {
    const number = state.items.get(id)?.segment ?? 0;
    const key = segmentKey(state, number);
    const place = state.segments[number];
    const cached = cache.get(key);
    const found = cached?.get(id);
    if (found) return lend(found);
    if (cached) return reportMissing(key, id);
    const segment = await startRead(state, number);
    const request = segment?.items.get(id);
    if (!segment || !place) return null;
    if (!request) {
      if (!cache.has(key)) segment.lease.release();
      return reportMissing(key, id);
    }
    if (!isCacheable(place)) return { request, release: segment.lease.release };
    const lent = lend(request);
    // Others that waited for the same read have copies as well.
    if (state.isEnded) segment.lease.release();
    return lent;
  };

  const loadSegment = async (
    state: BatchState,
    number: number,
  ): Promise<ReadonlyMap<string, ItemRequest> | null> =>
    cache.get(segmentKey(state, number)) ?? (await startRead(state, number))?.items ?? null;

  /** All items of a batch as they are handed to another host; null if they can't be now. */
  const loadAll = async (state: BatchState): Promise<Item[] | null> => {
    if (state.requests) return [...state.requests.values()];
    const { segments } = state;
    const bytes = segments.reduce((sum, place) => sum + textBytes(place), 0);
    if (segments.length === 0 || bytes > MAX_HELD_BYTES) return null;
    const loaded = await Promise.all(segments.map((_, number) => loadSegment(state, number)));
    const items = loaded.flatMap((segment) => (segment ? [...segment.values()].map(toItem) : []));
    return items.length === state.items.size ? items : null;
  };

  return {
    loadAll,
    /**
     * Whether the items of a batch can be started without a wait; starts to read their requests if
     * not. Those of a batch with several segments are read item by item.
     */
    isLoaded: (state: BatchState): boolean => {
      const [place, ...others] = state.segments;
      if (state.requests || others.length > 0) return true;
      if (!place || cache.has(segmentKey(state, 0))) return place !== undefined;
      if (!isCacheable(place)) return true;
      void startRead(state, 0);
      return false;
    },
    /** Discards the requests of a batch that has ended or of which all items are finished. */
    forget: (state: BatchState): void =>
      state.segments.forEach((_, number) => {
        cache.remove(segmentKey(state, number));
        failedReads.delete(segmentKey(state, number));
      }),
    /** When the request of an item may be read again after a failed read, on the monotonic clock. */
    retryAt: (state: BatchState, id: string): number =>
      retryAt(segmentKey(state, state.items.get(id)?.segment ?? 0)),
    /** The request of an item; null if it can't be read, or held, now. */
    load: async (state: BatchState, id: string): Promise<LoadedRequest | null> => {
      const held = state.requests?.get(id);
      return held ? { request: toItemRequest(held), release: () => {} } : loadFromStore(state, id);
    },
  };
};

export type RequestReader = ReturnType<typeof newRequestReader>;

export default newRequestReader;
