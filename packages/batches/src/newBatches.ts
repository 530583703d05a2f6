import type Clock from '@cyclamengate/common/Clock';
import assertNever from '@cyclamengate/common/assertNever';
import { unlimitedMemory } from '@cyclamengate/common/newMemoryBudget';
import type { MemoryBudget } from '@cyclamengate/common/newMemoryBudget';
import type {
  Batch,
  BatchBegun,
  BatchChange,
  BatchHead,
  BatchRecord,
  ItemHead,
  ItemResult,
} from './batchRecord.js';
import mapById from './mapById.js';
import { RESULT_BYTES, itemBytes } from './metadataBytes.js';
import newBatchState from './newBatchState.js';
import newVerdicts from './newVerdicts.js';
import type { BatchState, EarlierText } from './newBatchState.js';
import type { PartialTexts } from './newPartialTexts.js';
import type { BatchExecutor } from './peerRouter.js';

/** A batch that its sender never ends is forgotten after so many times the retention. */
const OPEN_RETENTION_FACTOR = 10;

/** A host that takes a batch over writes its record within this time, unless it dies. */
const TAKEOVER_RECORD_GRACE_MS = 2_000;

export interface BatchesOptions {
  clock: Clock;
  /** Time for which an ended batch can be read after it was accepted, in milliseconds. */
  retentionMs: number;
  /** Partial texts, as far as they were read. */
  parts: PartialTexts;
  /** Counts what is known of all batches. */
  memory?: Pick<MemoryBudget, 'hold'>;
  /** Called when the requests of a batch are no longer held here. */
  onRequestsDropped?: (batch: string) => void;
}

/**
 * Holds the state of all batches according to the log.
 *
 * A batch can be sent again to another host when the first response is lost, and two hosts can run
 * the same item. The first record of a batch and the first result of an item in log order take
 * effect, so that every host gives the same answer without asking another.
 */
const newBatches = (options: BatchesOptions) => {
  const { clock, retentionMs, parts, memory = unlimitedMemory, onRequestsDropped } = options;
  const states = new Map<string, BatchState>();
  const completed = new Map<string, { digest: string; result: ItemResult }>();
  const verdicts = newVerdicts();
  const reportedExecutors = new Map<string, BatchExecutor & { at: number }>();
  let onAccepted = (_state: BatchState): void => {};
  const listeners = new Set<(state: BatchState) => void>();

  const computeEvictionTime = ({ acceptedAt }: Batch | BatchHead): number => {
    const ageMs = Math.max(0, clock.wallTime() - acceptedAt);
    return clock.now() + Math.max(0, retentionMs - ageMs) + retentionMs / 2;
  };

  const sumBytes = (items: Pick<ItemHead, 'id' | 'group'>[]): number =>
    items.reduce((sum, item) => sum + itemBytes(item), 0);

  /** A time in the future would keep a batch beyond its retention. */
  const withPastAcceptance = <T extends Batch | BatchHead>(batch: T): T => {
    const now = clock.wallTime();
    return batch.acceptedAt <= now ? batch : { ...batch, acceptedAt: now };
  };

  const add = (given: Batch | BatchHead, isLogged: boolean): BatchState => {
    const batch = withPastAcceptance(given);
    const state = newBatchState(batch, isLogged, {
      executorReportedAt: reportedExecutors.has(batch.id) ? clock.now() : -Infinity,
      evictAt: computeEvictionTime(batch),
      lease: memory.hold('metadata', sumBytes(batch.items)),
    });
    states.set(batch.id, state);
    return state;
  };

  const accept = (batch: Batch | BatchHead): BatchState | null => {
    const known = states.get(batch.id);
    if (!known) return add(batch, true);
    if (known.isLogged) return null;
    known.isLogged = true;
    known.isStored = true;
    known.batch = withPastAcceptance(batch);
    known.segments = batch.type === 'batch-head' ? batch.segments : [];
    // A host may have begun it with other segments than those that the store has.
    if (batch.type === 'batch-head') known.items = mapById(batch.items);
    return known;
  };

  /**
   * If several hosts began a batch, the first record takes effect. The record of a host that took
   * the batch over replaces any earlier one.
   */
  const applyBegun = ({ batch, host, incarnation, from }: BatchBegun): BatchState | null => {
    const state = states.get(batch);
    if (!state?.isLogged || (state.executor && from === null)) return null;
    state.handedOverUntil = -Infinity;
    state.executor = { host, incarnation, readAt: clock.now() };
    return state;
  };

  const addResult = (result: ItemResult): BatchState | null => {
    const state = states.get(result.batch);
    if (!state?.isLogged || !state.items.has(result.item) || state.finished.has(result.item))
      return null;
    state.finished.add(result.item);
    state.results.push(result);
    state.lease.add(RESULT_BYTES);
    parts.remove(result.item);
    const item = state.items.get(result.item);
    if (item) verdicts.add(item, result);
    if (item && result.state === 'completed') {
      completed.set(result.item, { digest: item.digest, result });
    }
    return state;
  };

  const dropRequests = (state: BatchState): void => {
    state.requests = null;
    onRequestsDropped?.(state.batch.id);
  };

  const end = (id: string): BatchState | null => {
    const state = states.get(id);
    if (!state || state.isEnded) return null;
    state.isEnded = true;
    dropRequests(state);
    return state;
  };

  const change = (record: BatchRecord | BatchChange): BatchState | null => {
    switch (record.type) {
      case 'batch':
      case 'batch-head':
        return accept(record);
      case 'result':
        return addResult(record);
      case 'batch-end':
        return end(record.batch);
      case 'batch-begun':
        return applyBegun(record);
      default:
        return assertNever(record);
    }
  };

  const forget = (state: BatchState): void => {
    dropRequests(state);
    state.lease.release();
    states.delete(state.batch.id);
  };

  /** When a batch is forgotten unless it ends before, on the monotonic clock. */
  const evictionTime = ({ isEnded, evictAt }: BatchState): number =>
    evictAt + (isEnded ? 0 : (OPEN_RETENTION_FACTOR - 1) * retentionMs);

  const evictExpired = (): void => {
    reportedExecutors.forEach(({ at }, id) => {
      if (at + retentionMs < clock.now()) reportedExecutors.delete(id);
    });
    states.forEach((state) => {
      if (evictionTime(state) >= clock.now()) return;
      state.results.forEach(({ item, batch }) => {
        if (completed.get(item)?.result.batch === batch) completed.delete(item);
        verdicts.forget(item, batch);
      });
      forget(state);
    });
  };

  return {
    apply: (record: BatchRecord | BatchChange): void => {
      const changed = change(record);
      if (!changed) return;
      if (record.type === 'batch' || record.type === 'batch-head') {
        evictExpired();
        onAccepted(changed);
      }
      [...listeners].forEach((listener) => listener(changed));
    },
    get: (id: string): BatchState | undefined => {
      const state = states.get(id);
      return state?.isLogged ? state : undefined;
    },
    /**
     * Begins a batch that the store does not have yet; @returns false if the batch is already
     * known.
     */
    begin: (batch: Batch): boolean => {
      if (states.has(batch.id)) return false;
      const state = add(batch, false);
      [...listeners].forEach((listener) => listener(state));
      return true;
    },
    /** Whether this host has begun a batch or taken it over. */
    hasBegun: (id: string): boolean => states.get(id)?.isBegunHere ?? false,
    /**
     * Records that the store has acknowledged a batch that this host has yet to read from the log.
     */
    markStored: (id: string): void => {
      const state = states.get(id);
      if (!state || state.isStored) return;
      state.isStored = true;
      [...listeners].forEach((listener) => listener(state));
    },
    /** Records that another host has begun a batch. */
    recordExecutor: (executor: BatchExecutor): void => {
      const at = clock.now();
      reportedExecutors.set(executor.batch, { ...executor, at });
      const state = states.get(executor.batch);
      if (state) state.executorReportedAt = at;
    },
    /** Host that was reported to have begun a batch; null if there is none. */
    findReportedExecutor: (id: string): BatchExecutor | null => reportedExecutors.get(id) ?? null,
    /** Takes over a batch that this host knows; @returns false if it is unknown or has ended. */
    takeOver: (batch: Batch): boolean => {
      const state = states.get(batch.id);
      if (!state || state.isEnded) return false;
      state.isBegunHere = true;
      state.handedOverUntil = -Infinity;
      state.requests ??= mapById(batch.items);
      [...listeners].forEach((listener) => listener(state));
      return true;
    },
    /** Records that this host has handed a batch over. */
    markHandedOver: (id: string): void => {
      const state = states.get(id);
      if (!state) return;
      state.isBegunHere = false;
      state.handedOverUntil = clock.now() + TAKEOVER_RECORD_GRACE_MS;
    },
    /**
     * Stops running a batch that this host began or took over, and removes it if the store is not
     * known to have it.
     */
    withdraw: (id: string): void => {
      const state = states.get(id);
      if (!state) return;
      state.isBegunHere = false;
      if (!state.isLogged) forget(state);
    },
    evictExpired,
    /** When the next batch is forgotten, on the monotonic clock; infinity if there is none. */
    nextEvictionAt: (): number => Math.min(...[...states.values()].map(evictionTime)),
    open: (): BatchState[] =>
      [...states.values()].filter(
        ({ isEnded, finished, items }) => !isEnded && finished.size < items.size,
      ),
    /** Whether the engines' answers in earlier batches forbid to run an item once more. */
    isHopeless: verdicts.isHopeless,
    /**
     * Text of an item from any batch: the complete text, or the part of it that was written by its
     * host.
     */
    findText: (id: string): EarlierText | null => {
      const done = completed.get(id);
      if (done) {
        const { text, versions } = done.result;
        const progress = { events: [], lastEventId: null, versions };
        return { digest: done.digest, progress, isComplete: true, place: text };
      }
      const part = parts.get(id);
      const item = part && states.get(part.batch)?.items.get(id);
      if (!part || !item) return null;
      const progress = structuredClone(part.progress);
      return { digest: item.digest, progress, isComplete: part.isComplete, place: null };
    },
    /** @param listener called once for each batch in the log, in its order */
    onAccepted: (listener: (state: BatchState) => void): void => {
      onAccepted = listener;
    },
    /** @returns a function that removes the listener */
    onChange: (listener: (state: BatchState) => void): (() => void) => {
      listeners.add(listener);
      return () => listeners.delete(listener);
    },
  };
};

export type Batches = ReturnType<typeof newBatches>;

export default newBatches;
