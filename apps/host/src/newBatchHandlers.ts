import type { ServerResponse } from 'node:http';
import { formatResults, restoreBatch } from '@cyclamengate/adapter/batchCalls';
import { refusalHeaders } from '@cyclamengate/adapter/callerRequest';
import type { CallerRequest } from '@cyclamengate/adapter/callerRequest';
import type { Item } from '@cyclamengate/batches/batchRecord';
import keepOrSee from '@cyclamengate/batches/keepOrSee';
import type { BatchKeeper } from '@cyclamengate/batches/newBatchKeeper';
import type { BatchState } from '@cyclamengate/batches/newBatches';
import newResultPages from '@cyclamengate/batches/newResultPages';
import type Clock from '@cyclamengate/common/Clock';
import type { EventLog } from '@cyclamengate/common/newEventLog';
import { sendJson } from '@cyclamengate/common/handler';
import { findCaller } from '@cyclamengate/gateway/findRoute';
import type { EffectiveSettings } from '@cyclamengate/gateway/newSettingsView';
import type { Route } from '@cyclamengate/gateway/operatorSettings';
import { notRun, rejected, uncertain } from '@cyclamengate/gateway/refusal';
import type { Refusal } from '@cyclamengate/gateway/refusal';
import type { BatchStore } from './newBatchStore.js';

/**
 * Trainers send a batch again after about 1.2 s without an answer, a handful of times. Until then the
 * store may be back: the longer each call waits for that, the longer an outage that a batch outlives.
 */
const ACCEPT_MS = 1_100;
/** An end is written within some milliseconds, here or by another host. */
const END_MS = 1_000;
const CATCH_UP_MS = 700;
/** A view older than this may lack what another host has shown already. */
const FRESH_MS = 700;
/** A caller whose batch could not be kept comes back when the store's hiccup may be over. */
const STORE_RETRY_MS = 300;

export interface BatchHandlerOptions {
  clock: Clock;
  log: EventLog;
  store: BatchStore;
  keep: BatchKeeper['keep'];
  readSettings: () => EffectiveSettings | null;
}

/** The calls on batches. Every host answers them alike, from the store's records. */
const newBatchHandlers = (options: BatchHandlerOptions) => {
  const { clock, log, store, keep, readSettings } = options;
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

  /** The batch, if the caller may see it; a refusal otherwise. Absent is said only when it is sure. */
  const find = async (request: CallerRequest, id: string): Promise<BatchState | Refusal> => {
    const effective = readSettings();
    if (!effective) return notRun('no-settings', STORE_RETRY_MS);
    const caller = findCaller(effective, null, request.key);
    if (!caller) return rejected(401, 'unknown-key');
    const isSure = batches.get(id) ? true : await store.catchUp(clock.now() + CATCH_UP_MS);
    const state = batches.get(id);
    if (!state && !isSure) return notRun('store-away', STORE_RETRY_MS);
    const customer = caller.type === 'customer' ? caller.customer.name : null;
    if (!state || state.batch.customer !== customer) return rejected(404, 'no-such-batch');
    return state;
  };

  const isRefusal = (found: object): found is Refusal => 'status' in found;

  /** Absent is said of an item only where the batch has none of that id. */
  const findItem = async (state: BatchState, itemId: string): Promise<Item | Refusal> => {
    if (!state.items.has(itemId)) return rejected(404, 'no-such-item');
    const items = await store.requests.read(state);
    return items?.get(itemId) ?? notRun('requests-unread', STORE_RETRY_MS);
  };

  const accept = async (
    request: CallerRequest,
    response: ServerResponse,
    route: Route,
    customer: string | null,
    body: Buffer,
  ): Promise<void> => {
    const id = request.requestId ?? '';
    const submitted = restoreBatch(body);
    if (!submitted.ok || id === '') {
      const problems = submitted.ok ? 'no id' : submitted.val;
      log.warn('batch.malformed', { batch: id, problems });
      refuse(response, request, id, rejected(400, 'malformed-batch'));
      return;
    }
    if (batches.get(id)) {
      sendJson(response, 202, {});
      return;
    }
    const record = {
      type: 'batch' as const,
      id,
      customer,
      route: route.name,
      hostName: request.hostName,
      acceptedAt: clock.wallTime(),
      ...submitted.val,
    };
    const outcome = await keepOrSee({ clock, batches, keep }, record, clock.now() + ACCEPT_MS);
    log.info('batch.accepted', {
      batch: id,
      outcome,
      items: record.items.length,
      step: record.step,
      model: record.model,
      leastVersion: record.leastVersion,
      wantedGroups: record.wantedGroups,
    });
    if (outcome === 'written') sendJson(response, 202, {});
    // It may still land: then it runs, so nothing may be promised.
    else if (outcome === 'unknown') refuse(response, request, id, uncertain('store-silent', 504));
    else refuse(response, request, id, notRun('store-away', STORE_RETRY_MS));
  };

  /** Waits for a result at a position, as long as the caller allows. */
  const waitForResult = (state: BatchState, from: number, until: number): Promise<void> => {
    const wait = new AbortController();
    const stop = batches.onChange((changed) => {
      if (changed === state && state.results.length > from) wait.abort('there');
    });
    return clock.sleepUntil(until, wait.signal).finally(stop);
  };

  const noteRead = ({ batch, items, results, isEnded }: BatchState, from: number, given: number) =>
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
    const until = clock.now() + request.waitMs;
    const found = await find(request, id);
    if (isRefusal(found)) {
      refuse(response, request, id, found);
      return;
    }
    const isWhole = (): boolean => found.results.length >= found.items.size || found.isEnded;
    if (found.results.length <= from && !isWhole()) await waitForResult(found, from, until);
    const isStale = clock.now() > store.freshAt() + FRESH_MS;
    if (found.results.length <= from && isStale && !(await store.catchUp(clock.now() + 300))) {
      refuse(response, request, id, notRun('store-away', STORE_RETRY_MS));
      return;
    }
    const page = await pages.read(found.results, from);
    if (!page) {
      refuse(response, request, id, notRun('texts-unread', STORE_RETRY_MS));
      return;
    }
    const { results, texts } = page;
    sendJson(response, 200, formatResults(found.items.size, from, results, texts));
    if (results.length > 0) noteRead(found, from, results.length);
  };

  const readItem = async (
    request: CallerRequest,
    response: ServerResponse,
    id: string,
    itemId: string,
  ): Promise<void> => {
    const found = await find(request, id);
    const item = isRefusal(found) ? found : await findItem(found, itemId);
    if (isRefusal(item)) {
      refuse(response, request, id, item);
      return;
    }
    const body = Buffer.from(item.body, 'base64');
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
    const found = await find(request, id);
    if (isRefusal(found)) {
      refuse(response, request, id, found);
      return;
    }
    const outcome = found.isEnded
      ? 'written'
      : await keep({ type: 'batch-end', batch: id }, clock.now() + END_MS);
    log.info('batch.ended', { batch: id, outcome, results: found.results.length });
    if (outcome === 'written') sendJson(response, 200, {});
    else refuse(response, request, id, uncertain('store-silent', 504));
  };

  return { accept, read, readItem, end };
};

export type BatchHandlers = ReturnType<typeof newBatchHandlers>;

export default newBatchHandlers;
