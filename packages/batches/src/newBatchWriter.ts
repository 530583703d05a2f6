import type Clock from '@cyclamengate/common/Clock';
import type { EventLog } from '@cyclamengate/common/newEventLog';
import withDeadline from '@cyclamengate/common/withDeadline';
import type { WriteOutcome } from '@cyclamengate/store/newStoreWriter';
import type { Batch, BatchChange } from './batchRecord.js';

/**
 * Delay before peers are asked: the store answers within some milliseconds, a slow one within 300
 * ms at most.
 */
const ASK_PEERS_AFTER_MS = 300;
/**
 * Delay before a batch is begun without the store: a peer that reaches the store answers within 20
 * ms, and one that does not uses its whole time limit.
 */
const BEGIN_AFTER_MS = 200;

export interface BatchWriterOptions {
  clock: Clock;
  log: EventLog;
  writeHere: (record: BatchChange, deadline: number) => Promise<WriteOutcome>;
  /** Asks other hosts to write a record. */
  askPeers: (record: BatchChange) => Promise<WriteOutcome>;
  /**
   * Makes a host begin a batch before the store has it and write it to the store; the same host
   * each time that the batch is sent again.
   */
  begin: (batch: Batch) => Promise<void>;
}

/**
 * Writes records to the store, through other hosts if this one cannot reach it.
 *
 * A batch may be sent while the store is unavailable to all hosts, or to a partitioned failure
 * domain. Its trainer can only be told that the outcome is unknown, and sends it again about once a
 * second. Its items run in the meantime and are listed as soon as the store is available: an outage
 * of 6 s then costs a step nothing instead of the whole step. Such a batch is never reported as
 * "not run".
 */
const newBatchWriter = ({ clock, log, writeHere, askPeers, begin }: BatchWriterOptions) => {
  const beginUnstored = (record: BatchChange): boolean => {
    if (record.type !== 'batch') return false;
    log.warn('batch.begun-unkept', { batch: record.id, model: record.model, step: record.step });
    void begin(record);
    return true;
  };

  const write = async (record: BatchChange, deadline: number): Promise<WriteOutcome> => {
    const ownWrite = writeHere(record, deadline);
    const ownOutcome = await withDeadline(
      clock,
      ownWrite,
      Math.min(deadline, clock.now() + ASK_PEERS_AFTER_MS),
    );
    if (ownOutcome === 'written') return ownOutcome;
    const peers = askPeers(record);
    const peerOutcome = await withDeadline(clock, peers, clock.now() + BEGIN_AFTER_MS);
    if (peerOutcome === 'written') return peerOutcome;
    const isBegun = beginUnstored(record);
    const outcomes = await Promise.all([ownWrite, peerOutcome ?? peers]);
    if (outcomes.includes('written')) return 'written';
    return isBegun || outcomes.includes('unknown') ? 'unknown' : 'not-written';
  };

  return { write };
};

export type BatchWriter = ReturnType<typeof newBatchWriter>;

export default newBatchWriter;
