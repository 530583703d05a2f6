import type Clock from '@cyclamengate/common/Clock';
import assertNever from '@cyclamengate/common/assertNever';
import type {
  Batch,
  BatchBegun,
  BatchChange,
  BatchHead,
  BatchRecord,
  Item,
  ItemHead,
  ItemResult,
  TextPlace,
} from './batchRecord.js';
import mapById from './mapById.js';
import { newItemHead } from './newBatchHead.js';
import type { PartTexts } from './newPartTexts.js';
import type { Beginner } from './peerRouter.js';
import type { Progress } from './progress.js';

/** A host that takes a batch over writes that down at once, or dies. */
const TAKEN_OVER_MS = 2_000;

/** A batch with what is known of it. */
export interface BatchState {
  batch: Omit<Batch, 'type' | 'items'>;
  items: Map<string, ItemHead>;
  /** Whole items; null where this host has not read them, or needs them no more. */
  requests: Map<string, Item> | null;
  /** Where the store has the whole items; null while it has not. */
  requestsAt: TextPlace | null;
  /** In the order of the log, which gives each its position. */
  results: ItemResult[];
  finished: Set<string>;
  isEnded: boolean;
  /** Whether the store has it; one that this host began without that is nobody else's business. */
  isKept: boolean;
  /** Whether its head stands in the log: what is written now comes after it. */
  isStored: boolean;
  /** This host began it before the store had it, or was handed it by another. */
  isBegunHere: boolean;
  /**
   * This host has handed it to another, and until the view reaches this moment of the monotonic clock
   * the log may not tell of that yet. Beyond it the log's word counts: the other one may have died
   * before it could write it down, and nobody would ever run the batch again.
   */
  handedOverUntil: number;
  /** Who else, by the log; `readAt` is on the monotonic clock. */
  begunBy: { host: string; incarnation: string; readAt: number } | null;
  /**
   * When another host was said to have begun it, on the monotonic clock, or when it was added after
   * that; the log may not say so yet.
   */
  beginnerHeardAt: number;
  /** When this host forgets it, on the monotonic clock. */
  keepUntil: number;
}

/** Text of an item that was made under whichever batch. */
export interface EarlierText {
  /** Of the request that it answers. */
  digest: string;
  progress: Progress;
  isWhole: boolean;
  /** Where the store has it whole; its progress has no events then. */
  place: TextPlace | null;
}

export interface BatchesOptions {
  clock: Clock;
  /** Batches can be read for so long after they were accepted, in milliseconds. */
  lifeMs: number;
  /** Texts that are under way, as far as they were read. */
  parts: PartTexts;
}

/**
 * All batches, as the log's records say.
 *
 * A batch can be sent again to another host while the first answer is lost, and two hosts can run
 * the same item: the first record of a batch, and the first result of an item, in the log's order
 * are the ones that count. So every host gives the same answer without asking another.
 */
const newBatches = ({ clock, lifeMs, parts }: BatchesOptions) => {
  const states = new Map<string, BatchState>();
  const completed = new Map<string, { digest: string; result: ItemResult }>();
  const heard = new Map<string, Beginner & { at: number }>();
  let onAccepted = (_batch: BatchState['batch']): void => {};
  const listeners = new Set<(state: BatchState) => void>();

  const add = (batch: Batch | BatchHead, isKept: boolean): BatchState => {
    const age = Math.max(0, clock.wallTime() - batch.acceptedAt);
    const isWhole = batch.type === 'batch';
    const state: BatchState = {
      batch,
      items: mapById(isWhole ? batch.items.map(newItemHead) : batch.items),
      requests: isWhole ? mapById(batch.items) : null,
      requestsAt: isWhole ? null : batch.requests,
      results: [],
      finished: new Set(),
      isEnded: false,
      isKept,
      isStored: isKept,
      isBegunHere: !isKept,
      handedOverUntil: -Infinity,
      begunBy: null,
      beginnerHeardAt: heard.has(batch.id) ? clock.now() : -Infinity,
      keepUntil: clock.now() + Math.max(0, lifeMs - Math.min(age, lifeMs)) + lifeMs / 2,
    };
    states.set(batch.id, state);
    return state;
  };

  const accept = (batch: Batch | BatchHead): BatchState | null => {
    const known = states.get(batch.id);
    if (!known) return add(batch, true);
    if (known.isKept) return null;
    known.isKept = true;
    known.isStored = true;
    known.batch = batch;
    known.requestsAt = batch.type === 'batch-head' ? batch.requests : null;
    return known;
  };

  /** Of two hosts that began a batch the first counts; one that was handed it follows either. */
  const noteBegun = ({ batch, host, incarnation, from }: BatchBegun): BatchState | null => {
    const state = states.get(batch);
    if (!state?.isKept || (state.begunBy && from === null)) return null;
    state.handedOverUntil = -Infinity;
    state.begunBy = { host, incarnation, readAt: clock.now() };
    return state;
  };

  const addResult = (result: ItemResult): BatchState | null => {
    const state = states.get(result.batch);
    if (!state?.isKept || !state.items.has(result.item) || state.finished.has(result.item))
      return null;
    state.finished.add(result.item);
    state.results.push(result);
    parts.forget(result.item);
    const item = state.items.get(result.item);
    if (item && result.state === 'completed') {
      completed.set(result.item, { digest: item.digest, result });
    }
    return state;
  };

  const end = (id: string): BatchState | null => {
    const state = states.get(id);
    if (!state || state.isEnded) return null;
    state.isEnded = true;
    state.requests = null;
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
        return noteBegun(record);
      default:
        return assertNever(record);
    }
  };

  const forgetOld = (): void => {
    heard.forEach(({ at }, id) => {
      if (at + lifeMs < clock.now()) heard.delete(id);
    });
    states.forEach(({ keepUntil }, id) => {
      if (keepUntil >= clock.now()) return;
      states.get(id)?.results.forEach(({ item, batch }) => {
        if (completed.get(item)?.result.batch === batch) completed.delete(item);
      });
      states.delete(id);
    });
  };

  return {
    apply: (record: BatchRecord | BatchChange): void => {
      const changed = change(record);
      if (!changed) return;
      if (record.type === 'batch' || record.type === 'batch-head') {
        forgetOld();
        onAccepted(changed.batch);
      }
      [...listeners].forEach((listener) => listener(changed));
    },
    get: (id: string): BatchState | undefined => {
      const state = states.get(id);
      return state?.isKept ? state : undefined;
    },
    /** Begins a batch that the store does not have yet; @returns false where it is known. */
    begin: (batch: Batch): boolean => {
      if (states.has(batch.id)) return false;
      const state = add(batch, false);
      [...listeners].forEach((listener) => listener(state));
      return true;
    },
    /** Whether this host has begun a batch, or was handed it. */
    hasBegun: (id: string): boolean => states.get(id)?.isBegunHere ?? false,
    /** The store has answered that a batch stands, which this host is still to read. */
    noteStored: (id: string): void => {
      const state = states.get(id);
      if (!state || state.isStored) return;
      state.isStored = true;
      [...listeners].forEach((listener) => listener(state));
    },
    /** Hears that another host has begun a batch. */
    noteBeginner: (beginner: Beginner): void => {
      const at = clock.now();
      heard.set(beginner.batch, { ...beginner, at });
      const state = states.get(beginner.batch);
      if (state) state.beginnerHeardAt = at;
    },
    /** The host that was said to have begun a batch; null where none was. */
    heardBeginner: (id: string): Beginner | null => heard.get(id) ?? null,
    /** Takes over a batch that is known here; @returns false where it is not, or has ended. */
    adopt: (batch: Batch): boolean => {
      const state = states.get(batch.id);
      if (!state || state.isEnded) return false;
      state.isBegunHere = true;
      state.handedOverUntil = -Infinity;
      state.requests ??= mapById(batch.items);
      [...listeners].forEach((listener) => listener(state));
      return true;
    },
    /** This host goes on with a batch no more. */
    noteHandedOver: (id: string): void => {
      const state = states.get(id);
      if (!state) return;
      state.isBegunHere = false;
      state.handedOverUntil = clock.now() + TAKEN_OVER_MS;
    },
    /** Ends what was begun here, unless the store has the batch by now. */
    withdraw: (id: string): void => {
      const state = states.get(id);
      if (!state) return;
      state.isBegunHere = false;
      if (!state.isKept) states.delete(id);
    },
    open: (): BatchState[] =>
      [...states.values()].filter(
        ({ isEnded, finished, items }) => !isEnded && finished.size < items.size,
      ),
    /** Text of an item from whichever batch: whole, or as far as its host wrote it down. */
    findText: (id: string): EarlierText | null => {
      const done = completed.get(id);
      if (done) {
        const { text, versions } = done.result;
        const progress = { events: [], lastEventId: null, versions };
        return { digest: done.digest, progress, isWhole: true, place: text };
      }
      const part = parts.get(id);
      const item = part && states.get(part.batch)?.items.get(id);
      if (!part || !item) return null;
      const progress = structuredClone(part.progress);
      return { digest: item.digest, progress, isWhole: part.isWhole, place: null };
    },
    /** @param listener hears of each batch that the log has, once */
    onAccepted: (listener: (batch: BatchState['batch']) => void): void => {
      onAccepted = listener;
    },
    /** @returns a function that ends it */
    onChange: (listener: (state: BatchState) => void): (() => void) => {
      listeners.add(listener);
      return () => listeners.delete(listener);
    },
  };
};

export type Batches = ReturnType<typeof newBatches>;

export default newBatches;
