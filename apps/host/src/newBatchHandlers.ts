import type { IncomingMessage, ServerResponse } from 'node:http';
import { formatResults } from '@cyclamengate/adapter/batchCalls';
import { refusalHeaders } from '@cyclamengate/adapter/callerRequest';
import type { CallerRequest } from '@cyclamengate/adapter/callerRequest';
import type { Batch } from '@cyclamengate/batches/batchRecord';
import newBatchHead from '@cyclamengate/batches/newBatchHead';
import { MAX_HELD_BYTES } from '@cyclamengate/batches/newBatchIntake';
import { toItem } from '@cyclamengate/batches/requestSegment';
import type { LoadedRequest } from '@cyclamengate/batches/newRequestReader';
import storeBatch from '@cyclamengate/batches/storeBatch';
import type { BatchWriter } from '@cyclamengate/batches/newBatchWriter';
import type { BatchState } from '@cyclamengate/batches/newBatchState';
import newResultPages from '@cyclamengate/batches/newResultPages';
import assertNever from '@cyclamengate/common/assertNever';
import type Clock from '@cyclamengate/common/Clock';
import type { Homes } from '@cyclamengate/common/homes';
import type { EventLog } from '@cyclamengate/common/newEventLog';
import type { MemoryBudget, MemoryLease } from '@cyclamengate/common/newMemoryBudget';
import { announcedBytes } from '@cyclamengate/common/readBody';
import type { WriteOutcome } from '@cyclamengate/store/newStoreWriter';
import { sendJson } from '@cyclamengate/common/handler';
import findHomes from '@cyclamengate/gateway/findHomes';
import { findCaller, pickService } from '@cyclamengate/gateway/findRoute';
import type { EffectiveSettings } from '@cyclamengate/gateway/newSettingsView';
import type { Route } from '@cyclamengate/gateway/operatorSettings';
import { notRun, rejected, uncertain } from '@cyclamengate/gateway/refusal';
import type { Refusal } from '@cyclamengate/gateway/refusal';
import type { BatchStore } from './newBatchStore.js';
import receiveBatch from './receiveBatch.js';
import type { ReceivedBatch, ReceiveFault } from './receiveBatch.js';

/**
 * Trainers retry a batch a few times, each after about 1.2 s without a response. Each call waits almost
 * that long for the store to recover, so that the batch survives longer outages.
 */
const ACCEPT_TIMEOUT_MS = 1_100;
/** A batch end is normally written within a few milliseconds, by this host or a peer. */
const END_TIMEOUT_MS = 1_000;
/** Time limit for reading the log to its end before a batch is reported missing. */
const CATCH_UP_TIMEOUT_MS = 700;
/** A view older than this may lack results that another host has already returned. */
const MAX_VIEW_AGE_MS = 700;
/** Retry delay sent to callers while the store is unreachable; short outages are over by then. */
const STORE_RETRY_MS = 300;
/** Retry delay while no upstream in the batch's homes takes requests; about a registry update. */
const HOME_RETRY_MS = 1_000;
const BODY_TIMEOUT_MS = 30_000;
/** A batch that may be forgotten is, once another one comes. */
const MIN_EVICTION_MS = 100;
/** Time limit for a part of a large batch; the store takes one in some tens of milliseconds. */
const PART_TIMEOUT_MS = 1_500;
/** Copies of a small batch: decoded, as records, as an item of a call to other hosts, and so on. */
const COPIES_OF_SMALL_BATCH = 6;
/** Parts of a large batch that are on the way to the store, and what the next ones are made from. */
const LARGE_BATCH_BYTES = 8_000_000;
/** Texts of a page as records, joined, as the text of the answer, and as its bytes. */
const COPIES_OF_PAGE = 4;

/** What the request of a batch tells of it, beside its body. */
type BatchFields = Pick<Batch, 'id' | 'customer' | 'route' | 'hostName' | 'acceptedAt'>;

export interface BatchHandlerOptions {
  clock: Clock;
  log: EventLog;
  memory: MemoryBudget;
  store: BatchStore;
  /** Writes a record to the store, through other hosts if this one can't reach it. */
  storeRecord: BatchWriter['write'];
  readSettings: () => EffectiveSettings | null;
  /** Whether any upstream of a service in some regions takes requests. */
  hasUpstream: (service: string, homes: Homes) => boolean;
}

/** Handlers of the batch calls. They answer from the store's records, so all hosts answer alike. */
const newBatchHandlers = (options: BatchHandlerOptions) => {
  const { clock, log, memory, store, storeRecord, readSettings, hasUpstream } = options;
  const { batches } = store;
  const pages = newResultPages({ clock, readTexts: store.texts.read });

  const refuse = (
    response: ServerResponse,
    request: CallerRequest,
    id: string,
    refusal: Refusal,
  ): void => {
    const { requestId, method } = request;
    log.info('batch.refused', { batch: id, requestId, method, ...refusal });
    const headers = refusalHeaders(requestId, refusal);
    sendJson(response, refusal.status, { error: refusal.code }, headers);
  };

  /** Gives memory back once an answer is sent, or its caller has gone. */
  const releaseOnClose = (response: ServerResponse, release: () => void): void => {
    response.once('close', release);
    if (response.destroyed) release();
  };

  /** Finds a batch of the caller. It is reported missing only if the view is up to date. */
  const findBatch = async (request: CallerRequest, id: string): Promise<BatchState | Refusal> => {
    const effective = readSettings();
    if (!effective) return notRun('no-settings', STORE_RETRY_MS);
    const caller = findCaller(effective, null, request.key);
    if (!caller) return rejected(401, 'unknown-key');
    const isCurrent = batches.get(id)
      ? true
      : await store.catchUp(clock.now() + CATCH_UP_TIMEOUT_MS);
    const state = batches.get(id);
    if (!state && !isCurrent) return notRun('store-away', STORE_RETRY_MS);
    const customer = caller.type === 'customer' ? caller.customer.name : null;
    if (!state || state.batch.customer !== customer) return rejected(404, 'no-such-batch');
    return state;
  };

  const isRefusal = (value: object): value is Refusal => 'status' in value;

  /** An item is reported missing only if the batch has no such id, not if it can't be read. */
  const findItem = async (state: BatchState, itemId: string): Promise<LoadedRequest | Refusal> => {
    if (!state.items.has(itemId)) return rejected(404, 'no-such-item');
    return (await store.requests.load(state, itemId)) ?? notRun('requests-unread', STORE_RETRY_MS);
  };

  const refusalOf = ({ type }: ReceiveFault): Refusal => {
    switch (type) {
      case 'malformed-batch':
        return rejected(400, type);
      case 'item-too-large':
      case 'too-many-items':
      case 'too-large':
        return rejected(413, type);
      case 'too-slow':
      case 'aborted':
        return rejected(408, type);
      case 'store-away':
        return notRun(type, STORE_RETRY_MS);
      case 'no-memory':
        return notRun(type, Math.max(MIN_EVICTION_MS, batches.nextEvictionAt() - clock.now()));
      default:
        return assertNever(type);
    }
  };

  /** Writes a batch that has arrived; other hosts can be handed a small one only. */
  const storeReceived = (
    fields: BatchFields,
    { submitted, requests }: ReceivedBatch,
    deadline: number,
  ): Promise<WriteOutcome> => {
    const batch = { ...fields, ...submitted };
    if (requests.type === 'held') {
      const record = { ...batch, type: 'batch' as const, items: requests.items.map(toItem) };
      return storeBatch({ clock, batches, write: storeRecord }, record, deadline);
    }
    const head = newBatchHead(batch, requests.heads, requests.segments);
    return storeBatch({ clock, batches, write: store.writeHead }, head, deadline);
  };

  const receiveAndStore = async (
    incoming: IncomingMessage,
    limitBytes: number,
    fields: BatchFields,
    metadata: MemoryLease,
  ): Promise<Refusal | null> => {
    const startedAt = clock.now();
    const received = await receiveBatch({
      memory,
      metadata,
      incoming,
      limitBytes,
      timeoutMs: BODY_TIMEOUT_MS,
      writePart: (part, bytes) =>
        store.texts.writePart(fields.id, part, bytes, clock.now() + PART_TIMEOUT_MS),
    });
    if (!received.ok) {
      const { type, message } = received.val;
      log.warn('batch.not-received', { batch: fields.id, reason: type, message });
      return refusalOf(received.val);
    }
    const receivedAt = clock.now();
    const outcome = await storeReceived(fields, received.val, receivedAt + ACCEPT_TIMEOUT_MS);
    const { submitted, requests } = received.val;
    log.info('batch.accepted', {
      batch: fields.id,
      outcome,
      items: (requests.type === 'held' ? requests.items : requests.heads).length,
      requests: requests.type,
      receiveMs: Math.round(receivedAt - startedAt),
      storeMs: Math.round(clock.now() - receivedAt),
      ...submitted,
    });
    if (outcome === 'written') return null;
    // The append may still take effect and the batch run, so the refusal must not say "not run".
    if (outcome === 'unknown') return uncertain('store-silent', 504);
    return notRun('store-away', STORE_RETRY_MS);
  };

  /** Bytes that are held while a batch is accepted. */
  const computeBatchBytes = (incoming: IncomingMessage): number => {
    const bytes = announcedBytes(incoming);
    const isSmall = bytes !== null && bytes <= MAX_HELD_BYTES;
    return isSmall ? bytes * COPIES_OF_SMALL_BATCH : LARGE_BATCH_BYTES;
  };

  const accept = async (
    request: CallerRequest,
    response: ServerResponse,
    effective: EffectiveSettings,
    route: Route,
    customer: string | null,
  ): Promise<void> => {
    const { req: incoming } = response;
    const id = request.requestId ?? '';
    /** Answers at once; the rest of the body is read and discarded. */
    const answer = (refusal: Refusal | null): void => {
      if (refusal === null) sendJson(response, 202, {});
      else refuse(response, request, id, refusal);
      incoming.resume();
    };
    const { maxBodyBytes } = effective.settings.limits;
    if (id === '') {
      answer(rejected(400, 'malformed-batch'));
      return;
    }
    if (batches.get(id)) {
      answer(null);
      return;
    }
    if ((announcedBytes(incoming) ?? 0) > maxBodyBytes) {
      answer(rejected(413, 'too-large'));
      return;
    }
    const homes = findHomes(effective, route, customer);
    if (homes !== null && !hasUpstream(pickService(route, 0) ?? '', homes)) {
      answer(notRun('no-upstream', HOME_RETRY_MS));
      return;
    }
    const lease = memory.reserve('batches', computeBatchBytes(incoming));
    if (!lease) {
      answer(notRun('no-memory', memory.retryAfterMs()));
      return;
    }
    const fields = {
      id,
      customer,
      route: route.name,
      hostName: request.hostName,
      acceptedAt: clock.wallTime(),
    };
    batches.evictExpired();
    const metadata = memory.hold('metadata', 0);
    try {
      answer(await receiveAndStore(incoming, maxBodyBytes, fields, metadata));
    } finally {
      lease.release();
      metadata.release();
    }
  };

  /** Waits for a result at a position, until the caller's wait time is over. */
  const waitForResult = (state: BatchState, from: number, deadline: number): Promise<void> => {
    const wait = new AbortController();
    const stop = batches.onChange((changed) => {
      if (changed === state && state.results.length > from) wait.abort('result available');
    });
    return clock.sleepUntil(deadline, wait.signal).finally(stop);
  };

  const logRead = ({ batch, items, results, isEnded }: BatchState, from: number, given: number) =>
    log.info('batch.read', {
      batch: batch.id,
      from,
      given,
      results: results.length,
      items: items.size,
      isEnded,
      viewAgeMs: Math.round(clock.now() - store.freshAt()),
    });

  const read = async (
    request: CallerRequest,
    response: ServerResponse,
    id: string,
    from: number,
  ): Promise<void> => {
    const deadline = clock.now() + request.waitMs;
    const state = await findBatch(request, id);
    if (isRefusal(state)) {
      refuse(response, request, id, state);
      return;
    }
    const isComplete = (): boolean => state.results.length >= state.items.size || state.isEnded;
    if (state.results.length <= from && !isComplete()) await waitForResult(state, from, deadline);
    const isStale = clock.now() > store.freshAt() + MAX_VIEW_AGE_MS;
    if (state.results.length <= from && isStale && !(await store.catchUp(clock.now() + 300))) {
      refuse(response, request, id, notRun('store-away', STORE_RETRY_MS));
      return;
    }
    const lease = memory.reserve('results', COPIES_OF_PAGE * pages.countBytes(state.results, from));
    if (!lease) {
      refuse(response, request, id, notRun('no-memory', memory.retryAfterMs()));
      return;
    }
    releaseOnClose(response, lease.release);
    const page = await pages.read(state.results, from);
    if (!page) {
      refuse(response, request, id, notRun('texts-unread', STORE_RETRY_MS));
      return;
    }
    const { results, texts } = page;
    sendJson(response, 200, formatResults(state.items.size, from, results, texts));
    if (results.length > 0) logRead(state, from, results.length);
  };

  const readItem = async (
    request: CallerRequest,
    response: ServerResponse,
    id: string,
    itemId: string,
  ): Promise<void> => {
    const state = await findBatch(request, id);
    const item = isRefusal(state) ? state : await findItem(state, itemId);
    if (isRefusal(item)) {
      refuse(response, request, id, item);
      return;
    }
    const { body } = item.request;
    releaseOnClose(response, item.release);
    response.writeHead(200, {
      'content-type': 'application/octet-stream',
      'content-length': String(body.length),
    });
    response.end(body);
  };

  const end = async (
    request: CallerRequest,
    response: ServerResponse,
    id: string,
  ): Promise<void> => {
    const state = await findBatch(request, id);
    if (isRefusal(state)) {
      refuse(response, request, id, state);
      return;
    }
    const outcome = state.isEnded
      ? 'written'
      : await storeRecord({ type: 'batch-end', batch: id }, clock.now() + END_TIMEOUT_MS);
    log.info('batch.ended', { batch: id, outcome, results: state.results.length });
    if (outcome === 'written') sendJson(response, 200, {});
    else refuse(response, request, id, uncertain('store-silent', 504));
  };

  return { accept, read, readItem, end };
};

export type BatchHandlers = ReturnType<typeof newBatchHandlers>;

export default newBatchHandlers;
