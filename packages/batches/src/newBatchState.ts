import type { MemoryLease } from '@cyclamengate/common/newMemoryBudget';
import type { Batch, BatchHead, Item, ItemHead, ItemResult, TextPlace } from './batchRecord.js';
import mapById from './mapById.js';
import { newItemHead } from './newBatchHead.js';
import type { Progress } from './progress.js';

/** A batch and its state as known to this host. */
export interface BatchState {
  batch: Omit<Batch, 'type' | 'items'>;
  items: Map<string, ItemHead>;
  /**
   * Items with their requests, of a batch that this host was handed; null if they are read from the
   * store or no longer needed.
   */
  requests: Map<string, Item> | null;
  /**
   * Locations of the segments that hold the requests in the store; none while the store does not
   * have them.
   */
  segments: TextPlace[];
  /** In log order, which defines the position of each result. */
  results: ItemResult[];
  finished: Set<string>;
  isEnded: boolean;
  /**
   * Whether the store is known to have the batch; a batch that this host began without the store is
   * not shown to callers.
   */
  isLogged: boolean;
  /** Whether the head of the batch is in the log, so that records written from now on follow it. */
  isStored: boolean;
  /**
   * Whether this host began the batch before the store had it, or took it over from another host.
   */
  isBegunHere: boolean;
  /**
   * This host has handed the batch over, and until its view reaches this time on the monotonic
   * clock the log may lack the record of the new host. Afterwards only the log counts: the new host
   * may have died before it could write the record, and no host would run the batch again.
   */
  handedOverUntil: number;
  /**
   * Host that began the batch or took it over, according to the log; `readAt` is on the monotonic
   * clock.
   */
  executor: { host: string; incarnation: string; readAt: number } | null;
  /**
   * Time on the monotonic clock at which another host was reported to have begun the batch, or at
   * which the batch was added after such a report; the log may still lack the record of that host.
   */
  executorReportedAt: number;
  /** Time on the monotonic clock after which this host evicts the batch if it has ended. */
  evictAt: number;
  /** Counts what this host knows of the batch. */
  lease: MemoryLease;
}

/** Text of an item that was generated under any batch. */
export interface EarlierText {
  /** Digest of the request that the text answers. */
  digest: string;
  progress: Progress;
  isComplete: boolean;
  /** Location of the complete text in the store; the progress has no events then. */
  place: TextPlace | null;
}

/** The state of a batch that this host has just learnt of, from the log or from its sender. */
const newBatchState = (
  batch: Batch | BatchHead,
  isLogged: boolean,
  given: Pick<BatchState, 'executorReportedAt' | 'evictAt' | 'lease'>,
): BatchState => {
  const hasRequests = batch.type === 'batch';
  return {
    batch,
    items: mapById(hasRequests ? batch.items.map(newItemHead) : batch.items),
    requests: hasRequests ? mapById(batch.items) : null,
    segments: hasRequests ? [] : batch.segments,
    results: [],
    finished: new Set(),
    isEnded: false,
    isLogged,
    isStored: isLogged,
    isBegunHere: !isLogged,
    handedOverUntil: -Infinity,
    executor: null,
    ...given,
  };
};

export default newBatchState;
