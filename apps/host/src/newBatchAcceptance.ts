import type { IncomingMessage, ServerResponse } from 'node:http';
import type { CallerRequest } from '@cyclamengate/adapter/callerRequest';
import type { Batch } from '@cyclamengate/batches/batchRecord';
import newBatchHead from '@cyclamengate/batches/newBatchHead';
import { MAX_HELD_BYTES } from '@cyclamengate/batches/newBatchIntake';
import type { BatchWriter } from '@cyclamengate/batches/newBatchWriter';
import { toItem } from '@cyclamengate/batches/requestSegment';
import storeBatch from '@cyclamengate/batches/storeBatch';
import assertNever from '@cyclamengate/common/assertNever';
import type Clock from '@cyclamengate/common/Clock';
import type { Homes } from '@cyclamengate/common/homes';
import type { EventLog } from '@cyclamengate/common/newEventLog';
import type { MemoryBudget, MemoryLease } from '@cyclamengate/common/newMemoryBudget';
import { announcedBytes } from '@cyclamengate/common/readBody';
import sendEarlyJson from '@cyclamengate/common/sendEarlyJson';
import findHomes from '@cyclamengate/gateway/findHomes';
import { pickService } from '@cyclamengate/gateway/findRoute';
import type { EffectiveSettings } from '@cyclamengate/gateway/newSettingsView';
import type { Route } from '@cyclamengate/gateway/operatorSettings';
import { notRun, rejected, uncertain } from '@cyclamengate/gateway/refusal';
import type { Refusal } from '@cyclamengate/gateway/refusal';
import type { WriteOutcome } from '@cyclamengate/store/newStoreWriter';
import leavingRefusal from './leavingRefusal.js';
import type { BatchStore } from './newBatchStore.js';
import type { Departure } from './newDeparture.js';
import receiveBatch from './receiveBatch.js';
import type { ReceivedBatch, ReceiveFault } from './receiveBatch.js';

/**
 * Trainers retry a batch a few times, each after about 1.2 s without a response. Each call waits almost
 * that long for the store to recover, so that the batch survives longer outages.
 */
const ACCEPT_TIMEOUT_MS = 1_100;
/** Retry delay sent to callers while the store is unreachable; short outages are over by then. */
export const STORE_RETRY_MS = 300;
/** Retry delay while no upstream in the batch's homes takes requests; about a registry update. */
const HOME_RETRY_MS = 1_000;
const BODY_TIMEOUT_MS = 30_000;
/** Shortest retry delay while the host knows too much of other batches. */
const MIN_ROOM_RETRY_MS = 1_000;
/** Time limit for a part of a large batch; the store takes one in some tens of milliseconds. */
const PART_TIMEOUT_MS = 1_500;
/** Copies of a small batch: decoded, as records, as an item of a call to other hosts, and so on. */
const COPIES_OF_SMALL_BATCH = 6;
/** Parts of a large batch that are on the way to the store, and what the next ones are made from. */
const LARGE_BATCH_BYTES = 8_000_000;

/** What the request of a batch tells of it, beside its body. */
type BatchFields = Pick<Batch, 'id' | 'customer' | 'route' | 'hostName' | 'acceptedAt'>;

export interface BatchAcceptanceOptions {
  clock: Clock;
  log: EventLog;
  memory: MemoryBudget;
  store: BatchStore;
  /** Writes a record to the store, through other hosts if this one can't reach it. */
  storeRecord: BatchWriter['write'];
  canFinish: Departure['canFinish'];
  /** Whether any upstream of a service in some regions takes requests. */
  hasUpstream: (service: string, homes: Homes) => boolean;
  refuse: (response: ServerResponse, request: CallerRequest, id: string, refusal: Refusal) => void;
}

/** Accepts new batches: receives one within the host's memory, and writes it to the store. */
const newBatchAcceptance = (options: BatchAcceptanceOptions) => {
  const { clock, log, memory, store, storeRecord, canFinish, hasUpstream, refuse } = options;
  const { batches } = store;

  /** Time until the next batch is forgotten, which makes room for others. */
  const findRoomMs = (): number => {
    const restMs = batches.nextEvictionAt() - clock.now();
    return Number.isFinite(restMs) ? Math.max(MIN_ROOM_RETRY_MS, restMs) : MIN_ROOM_RETRY_MS;
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
        return notRun(type, findRoomMs());
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
    if (!canFinish(receivedAt + ACCEPT_TIMEOUT_MS)) return leavingRefusal;
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

  return async (
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
      if (refusal === null) sendEarlyJson(response, 202, {});
      else refuse(response, request, id, refusal);
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
    if (!canFinish(clock.now() + ACCEPT_TIMEOUT_MS)) {
      answer(leavingRefusal);
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
};

export default newBatchAcceptance;
