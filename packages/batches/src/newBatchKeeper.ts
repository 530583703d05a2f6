import type Clock from '@cyclamengate/common/Clock';
import type { EventLog } from '@cyclamengate/common/newEventLog';
import within from '@cyclamengate/common/within';
import type { WriteOutcome } from '@cyclamengate/store/newStoreWriter';
import type { Batch, BatchChange } from './batchRecord.js';

/** The store answers within some milliseconds, a slow one within 300 ms at most. */
const ALONE_MS = 300;
/** A peer that reaches the store answers within 20 ms; one that does not takes its whole time. */
const PEERS_MS = 200;

export interface BatchKeeperOptions {
  clock: Clock;
  log: EventLog;
  write: (record: BatchChange, deadline: number) => Promise<WriteOutcome>;
  /** Has other hosts write a record. */
  askPeers: (record: BatchChange) => Promise<WriteOutcome>;
  /**
   * Has a host begin a batch's items before the store has the batch, and bring it there; the same
   * host each time that the batch comes again.
   */
  begin: (batch: Batch) => Promise<void>;
}

/**
 * Brings a record into the store, through other hosts where this one can't reach it.
 *
 * A batch may come while the store is away for all, or for a whole failure domain that is cut off.
 * Its trainer can only be told that nothing is known yet, and sends it again about once a second.
 * Its items run meanwhile all the same, and are listed as soon as the store is back: an outage of
 * 6 s costs a step nothing that way, where it cost the whole step before. Such a batch is never said
 * to be "not run".
 */
const newBatchKeeper = ({ clock, log, write, askPeers, begin }: BatchKeeperOptions) => {
  const beginUnkept = (record: BatchChange): boolean => {
    if (record.type !== 'batch') return false;
    log.warn('batch.begun-unkept', { batch: record.id, model: record.model, step: record.step });
    begin(record);
    return true;
  };

  const keep = async (record: BatchChange, deadline: number): Promise<WriteOutcome> => {
    const own = write(record, deadline);
    const alone = await within(clock, own, Math.min(deadline, clock.now() + ALONE_MS));
    if (alone === 'written') return alone;
    const peers = askPeers(record);
    const quick = await within(clock, peers, clock.now() + PEERS_MS);
    if (quick === 'written') return quick;
    const isBegun = beginUnkept(record);
    const outcomes = await Promise.all([own, quick ?? peers]);
    if (outcomes.includes('written')) return 'written';
    return isBegun || outcomes.includes('unknown') ? 'unknown' : 'not-written';
  };

  return { keep };
};

export type BatchKeeper = ReturnType<typeof newBatchKeeper>;

export default newBatchKeeper;
