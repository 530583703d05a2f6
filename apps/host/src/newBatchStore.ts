import newBatches from '@cyclamengate/batches/newBatches';
import { batchRecordSchema, partSchema } from '@cyclamengate/batches/batchRecord';
import type {
  Batch,
  BatchBegun,
  BatchChange,
  BatchHead,
  Handover,
  ItemHead,
  Part,
  TextPlace,
} from '@cyclamengate/batches/batchRecord';
import newBatchHead from '@cyclamengate/batches/newBatchHead';
import newHeldRequests from '@cyclamengate/batches/newHeldRequests';
import newPartialTexts, { PARTIAL_TEXT_RETENTION_MS } from '@cyclamengate/batches/newPartialTexts';
import newRequestReader from '@cyclamengate/batches/newRequestReader';
import newTexts from '@cyclamengate/batches/newTexts';
import newRecordReader from '@cyclamengate/batches/newRecordReader';
import newSegmentBuilder from '@cyclamengate/batches/newSegmentBuilder';
import newSegmentWriter from '@cyclamengate/batches/newSegmentWriter';
import { toItemRequest } from '@cyclamengate/batches/requestSegment';
import type { StoreReachability } from '@cyclamengate/batches/peerRouter';
import { encodeRecord } from '@cyclamengate/batches/recordPieces';
import type Clock from '@cyclamengate/common/Clock';
import type { EventLog } from '@cyclamengate/common/newEventLog';
import newId from '@cyclamengate/common/newId';
import type { OddValues } from '@cyclamengate/common/newOddValues';
import type { MemoryBudget } from '@cyclamengate/common/newMemoryBudget';
import newStoreWriter from '@cyclamengate/store/newStoreWriter';
import type { WriteOutcome } from '@cyclamengate/store/newStoreWriter';
import newTopicFollower from '@cyclamengate/store/newTopicFollower';
import newTrimmer from '@cyclamengate/store/newTrimmer';
import type Store from '@cyclamengate/store/Store';

const TOPIC = 'batches';
/** Partial texts of running items; read by a host that takes over a batch. */
const PARTS_TOPIC = 'parts';
/** Minimum time between two reads: limits the calls of many hosts, but delays results by as much. */
const READ_INTERVAL_MS = 80;

/** Results are due 7.5 s after a batch was first sent; storing it after this time is of no use. */
const BEGUN_WRITE_TIMEOUT_MS = 9_000;

/** A reachable store is read to its end within a few milliseconds. */
const CATCH_UP_TIMEOUT_MS = 300;
/**
 * After a store outage, some hosts read again 1 to 2 s before others whose calls still hang. Hosts that
 * lag this way are not partitioned; treating them as such would hand batches back and forth.
 */
const MIN_STEADY_MS = 2_500;

export interface BatchStoreOptions {
  clock: Clock;
  log: EventLog;
  memory: MemoryBudget;
  store: Store;
  oddValues: OddValues;
  host: string;
  incarnation: string;
  /** Time for which batches can be read after they were accepted. */
  retentionMs: number;
  /** Factor by which the read interval grows with the number of hosts. */
  readIntervalFactor: () => number;
}

/** Follows the batches in the store and writes their records. */
const newBatchStore = (options: BatchStoreOptions) => {
  const { clock, log, memory, store, oddValues, host, incarnation, retentionMs } = options;
  const { readIntervalFactor } = options;

  const partTexts = newPartialTexts(clock);
  const heldRequests = newHeldRequests(memory);
  const batches = newBatches({
    clock,
    retentionMs,
    parts: partTexts,
    memory,
    onRequestsDropped: heldRequests.drop,
  });
  const follower = newTopicFollower({
    clock,
    log,
    store,
    topic: TOPIC,
    readIntervalMs: () => READ_INTERVAL_MS * readIntervalFactor(),
    apply: newRecordReader({
      oddValues,
      topic: TOPIC,
      schema: batchRecordSchema,
      apply: batches.apply,
    }),
  });
  const writer = newStoreWriter({ clock, log, store, topic: TOPIC, producer: incarnation });

  const texts = newTexts({ clock, log, store, producer: incarnation });

  const requests = newRequestReader({ clock, log, memory, readTexts: texts.readBytes });
  batches.onChange((state) => {
    if (state.isEnded || state.finished.size >= state.items.size) requests.forget(state);
  });

  const encode = (record: { type: string }): Buffer[] => encodeRecord(record, newId('record'));

  /** Writes the requests of a batch that this host holds; null if the store did not take them. */
  const writeRequests = async (
    batch: Batch,
    deadline: number,
  ): Promise<{ heads: ItemHead[]; segments: TextPlace[] } | null> => {
    const segmentWriter = newSegmentWriter({
      writePart: (_, bytes) => texts.write(batch.id, bytes, deadline),
    });
    const builder = newSegmentBuilder({ onPart: segmentWriter.add });
    batch.items.map(toItemRequest).forEach(builder.addRequest);
    const heads = builder.end();
    const segments = await segmentWriter.end();
    return segments && { heads, segments };
  };

  /**
   * Writes the items of a batch, then its head. Without the head no host sees the batch, so it has not
   * run and never will.
   */
  const writeBatch = async (
    batch: Batch,
    begun: BatchBegun | null,
    deadline: number,
  ): Promise<WriteOutcome> => {
    const stored = await writeRequests(batch, deadline);
    if (!stored) return 'not-written';
    const head = newBatchHead(batch, stored.heads, stored.segments);
    const records = [head, ...(begun ? [begun] : [])];
    return writer.write(records.flatMap(encode), deadline);
  };

  const applyParts = newRecordReader({
    oddValues,
    topic: PARTS_TOPIC,
    schema: partSchema,
    apply: partTexts.apply,
  });

  const parts = newTopicFollower({
    clock,
    log,
    store,
    topic: PARTS_TOPIC,
    apply: (records) => {
      partTexts.evictExpired();
      applyParts(records);
    },
  });
  const partWriter = newStoreWriter({
    clock,
    log,
    store,
    topic: PARTS_TOPIC,
    producer: incarnation,
  });
  const trimParts = newTrimmer({
    clock,
    log,
    store,
    topic: PARTS_TOPIC,
    retentionMs: PARTIAL_TEXT_RETENTION_MS,
  });

  const writePart = async (part: Part, deadline: number): Promise<WriteOutcome> => {
    const appended = await partWriter.writeWithOffset(encode(part), deadline);
    if (appended.offset !== null) trimParts(appended.offset);
    return appended.outcome;
  };

  const newBatchBegun = (batch: Batch, from: string | null): BatchBegun => ({
    type: 'batch-begun',
    batch: batch.id,
    host,
    incarnation,
    from,
  });

  /** Writes a batch that the store may not have yet, and the record that this host runs it. */
  const storeBegunBatch = async (batch: Batch, from: string | null): Promise<void> => {
    const outcome = await writeBatch(
      batch,
      newBatchBegun(batch, from),
      clock.now() + BEGUN_WRITE_TIMEOUT_MS,
    );
    log.info('batch.begun-kept', { batch: batch.id, outcome });
    if (outcome === 'written') batches.markStored(batch.id);
    else batches.withdraw(batch.id);
  };

  /** Records that this host has taken over a batch that is already stored. */
  const recordTakeover = async (batch: Batch, from: string): Promise<void> => {
    const outcome = await writer.write(
      encode(newBatchBegun(batch, from)),
      clock.now() + BEGUN_WRITE_TIMEOUT_MS,
    );
    log.info('batch.taken-over', { batch: batch.id, from, outcome });
    if (outcome !== 'written') batches.withdraw(batch.id);
  };

  const checkStoreAccess = async (): Promise<StoreReachability> => {
    if (!(await follower.catchUp(clock.now() + CATCH_UP_TIMEOUT_MS))) return 'none';
    return clock.now() > follower.lastOutageEndedAt() + MIN_STEADY_MS ? 'steady' : 'new';
  };

  return {
    batches,
    /** Whether the topic can be read to its end: not at all, only since recently, or steadily. */
    checkStoreAccess,
    /** Begins a batch that the store does not have yet, and writes it there. */
    begin: (batch: Batch): void => {
      if (batches.begin(batch)) void storeBegunBatch(batch, null);
    },
    /** Takes room for the requests of a batch; @returns whether this host can hold them. */
    hold: (batch: Batch): boolean => heldRequests.hold(batch.id, batch.items),
    /** Takes over a batch from another host and continues from the partial texts sent with it. */
    takeOver: ({ batch, texts: handedTexts, from }: Handover): void => {
      handedTexts.forEach(partTexts.apply);
      if (batches.begin(batch)) void storeBegunBatch(batch, from);
      else if (batches.takeOver(batch)) void recordTakeover(batch, from);
    },
    texts,
    requests,
    readParts: parts.catchUp,
    writePart,
    run: follower.run,
    catchUp: follower.catchUp,
    freshAt: follower.freshAt,
    isUnreachable: follower.isUnavailable,
    /** Writes the head of a batch whose requests are stored. */
    writeHead: (head: BatchHead, deadline: number): Promise<WriteOutcome> =>
      writer.write(encode(head), deadline),
    write: (change: BatchChange, deadline: number): Promise<WriteOutcome> =>
      change.type === 'batch'
        ? writeBatch(change, null, deadline)
        : writer.write(encode(change), deadline),
  };
};

export type BatchStore = ReturnType<typeof newBatchStore>;

export default newBatchStore;
