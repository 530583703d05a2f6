import type Clock from '@cyclamengate/common/Clock';
import type { EventLog } from '@cyclamengate/common/newEventLog';
import type { WriteOutcome } from '@cyclamengate/store/newStoreWriter';
import type { Batch, BatchRecord } from './batchRecord.js';

/** The store answers within some milliseconds, a slow one within 300 ms at most. */
const ALONE_MS = 350;
/** The store is tried again through peers this often, while it is away for all that were asked. */
const ASK_AGAIN_MS = 1_000;

export interface BatchKeeperOptions {
  clock: Clock;
  log: EventLog;
  write: (record: BatchRecord, deadline: number) => Promise<WriteOutcome>;
  /** Has other hosts write a record. */
  askPeers: (record: BatchRecord) => Promise<WriteOutcome>;
  /** Begins a batch's items before the store has the batch. */
  begin: (batch: Batch) => void;
  /** Ends what was begun, unless the store has the batch by now. */
  withdraw: (id: string) => void;
  /** Whether this host finishes what it has and must not wait for long. */
  isLeaving: () => boolean;
}

/**
 * Brings a record into the store, through other hosts where this one can't reach it.
 *
 * A batch may come while the store is away for all, or for a whole failure domain that is cut off.
 * Its trainer then waits here rather than be refused: its items run meanwhile, and results are
 * listed as soon as the store is back. An outage of 6 s costs a step nothing that way, where it cost
 * the whole step before. Such a batch is never said to be "not run".
 */
const newBatchKeeper = (options: BatchKeeperOptions) => {
  const { clock, log, write, askPeers, begin, withdraw, isLeaving } = options;

  const keep = async (
    record: BatchRecord,
    deadline: number,
    signal: AbortSignal,
  ): Promise<WriteOutcome> => {
    let isBegun = false;
    let isUncertain = false;
    const own = { outcome: null as WriteOutcome | null };
    const settling = new AbortController();
    const settle = (outcome: WriteOutcome): void => {
      own.outcome ??= outcome;
      settling.abort();
    };
    const stop = AbortSignal.any([signal, settling.signal]);
    write(record, deadline).then(settle);

    const beginOnce = (): void => {
      if (isBegun || record.type !== 'batch') return;
      isBegun = true;
      log.warn('batch.begun-unkept', {
        batch: record.id,
        leftMs: Math.round(deadline - clock.now()),
      });
      begin(record);
    };

    await clock.sleepUntil(Math.min(deadline, clock.now() + ALONE_MS), stop);
    let isKeptByPeer = false;
    while (!stop.aborted && clock.now() < deadline) {
      const askedAt = clock.now();
      const answer = await askPeers(record);
      isKeptByPeer = answer === 'written';
      isUncertain = isUncertain || answer === 'unknown';
      if (isKeptByPeer) settle('written');
      if (stop.aborted || isLeaving()) break;
      beginOnce();
      await clock.sleepUntil(Math.min(deadline, askedAt + ASK_AGAIN_MS), stop);
    }
    // Past its deadline the write says whether it may still land.
    while (own.outcome === null && !signal.aborted && !isLeaving()) {
      await clock.sleepUntil(clock.now() + ALONE_MS, stop);
    }
    const outcome = own.outcome ?? 'unknown';
    // What a peer wrote is run by the host whose turn it is.
    const isOver = isKeptByPeer || outcome !== 'written';
    if (isBegun && isOver && record.type === 'batch') withdraw(record.id);
    return outcome === 'not-written' && (isUncertain || isBegun) ? 'unknown' : outcome;
  };

  return { keep };
};

export type BatchKeeper = ReturnType<typeof newBatchKeeper>;

export default newBatchKeeper;
