import type { ServerResponse } from 'node:http';
import { formatResults } from '@cyclamengate/adapter/batchCalls';
import type { CallerRequest } from '@cyclamengate/adapter/callerRequest';
import type { LoadedRequest } from '@cyclamengate/batches/newRequestReader';
import type { BatchState } from '@cyclamengate/batches/newBatchState';
import newResultPages from '@cyclamengate/batches/newResultPages';
import { sendJson } from '@cyclamengate/common/handler';
import { findCaller } from '@cyclamengate/gateway/findRoute';
import type { Caller } from '@cyclamengate/gateway/findRoute';
import type { EffectiveSettings } from '@cyclamengate/gateway/newSettingsView';
import { notRun, rejected, uncertain } from '@cyclamengate/gateway/refusal';
import type { Refusal } from '@cyclamengate/gateway/refusal';
import type { Departure } from './newDeparture.js';
import leavingRefusal from './leavingRefusal.js';
import newBatchAcceptance, { STORE_RETRY_MS } from './newBatchAcceptance.js';
import type { BatchAcceptanceOptions } from './newBatchAcceptance.js';
import sendRefusal from './sendRefusal.js';

/** A batch end is normally written within a few milliseconds, by this host or a peer. */
const END_TIMEOUT_MS = 1_000;
/** Time limit for reading the log to its end before a batch is reported missing. */
const CATCH_UP_TIMEOUT_MS = 700;
/** A view older than this may lack results that another host has already returned. */
const MAX_VIEW_AGE_MS = 700;
/** By when a call is answered, beside the time that its caller wants it to wait. */
const MAX_CALL_MS = 2_000;
/** Texts of a page as records, joined, as the text of the answer, and as its bytes. */
const COPIES_OF_PAGE = 4;

export interface BatchHandlerOptions extends Omit<BatchAcceptanceOptions, 'refuse'> {
  readSettings: () => EffectiveSettings | null;
  onLate: Departure['onLate'];
}

/** Handlers of the batch calls. They answer from the store's records, so all hosts answer alike. */
const newBatchHandlers = (options: BatchHandlerOptions) => {
  const { clock, log, memory, store, storeRecord, readSettings, canFinish, onLate } = options;
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
    sendRefusal(response, requestId, refusal);
  };

  /** Gives memory back once an answer is sent, or its caller has gone. */
  const releaseOnClose = (response: ServerResponse, release: () => void): void => {
    response.once('close', release);
    if (response.destroyed) release();
  };

  /** A batch that was accepted without a key may be read without one, and with any. */
  const mayRead = (caller: Caller | null, { batch }: BatchState): boolean =>
    batch.customer === null ||
    (caller?.type === 'customer' && caller.customer.name === batch.customer);

  const acceptsWithoutKey = ({ settings }: EffectiveSettings): boolean =>
    settings.routes.some(({ kind, isPublic }) => kind === 'batch' && isPublic);

  /** Finds a batch of the caller. It is reported missing only if the view is up to date. */
  const findBatch = async (request: CallerRequest, id: string): Promise<BatchState | Refusal> => {
    if (!canFinish(clock.now() + request.waitMs + MAX_CALL_MS)) return leavingRefusal;
    const effective = readSettings();
    if (!effective) return notRun('no-settings', STORE_RETRY_MS);
    const caller = findCaller(effective, null, request.key);
    const isKnown = batches.get(id) !== undefined;
    if (!caller && !isKnown && !acceptsWithoutKey(effective)) return rejected(401, 'unknown-key');
    const isCurrent = isKnown ? true : await store.catchUp(clock.now() + CATCH_UP_TIMEOUT_MS);
    const state = batches.get(id);
    if (!state && !isCurrent) return notRun('store-away', STORE_RETRY_MS);
    if (state && mayRead(caller, state)) return state;
    return caller ? rejected(404, 'no-such-batch') : rejected(401, 'unknown-key');
  };

  const isRefusal = (value: object): value is Refusal => 'status' in value;

  /** An item is reported missing only if the batch has no such id, not if it can't be read. */
  const findItem = async (state: BatchState, itemId: string): Promise<LoadedRequest | Refusal> => {
    if (!state.items.has(itemId)) return rejected(404, 'no-such-item');
    return (await store.requests.load(state, itemId)) ?? notRun('requests-unread', STORE_RETRY_MS);
  };

  /** Waits for a result at a position, until the caller's wait time is over or this host stops. */
  const waitForResult = (state: BatchState, from: number, deadline: number): Promise<void> => {
    const wait = new AbortController();
    const stay = onLate(deadline + MAX_CALL_MS, () => wait.abort('leaving'));
    const stop = batches.onChange((changed) => {
      if (changed === state && state.results.length > from) wait.abort('result available');
    });
    return clock.sleepUntil(deadline, wait.signal).finally(() => {
      stop();
      stay();
    });
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

  return { accept: newBatchAcceptance({ ...options, refuse }), read, readItem, end };
};

export type BatchHandlers = ReturnType<typeof newBatchHandlers>;

export default newBatchHandlers;
