import newBatches from '@cyclamengate/batches/newBatches';
import { batchRecordSchema, partSchema } from '@cyclamengate/batches/batchRecord';
import type {
  Batch,
  BatchBegun,
  BatchChange,
  Handover,
  Part,
} from '@cyclamengate/batches/batchRecord';
import newBatchHead from '@cyclamengate/batches/newBatchHead';
import newPartTexts, { PART_LIFE_MS } from '@cyclamengate/batches/newPartTexts';
import newRequestReader from '@cyclamengate/batches/newRequestReader';
import newTexts from '@cyclamengate/batches/newTexts';
import newRecordReader from '@cyclamengate/batches/newRecordReader';
import type { Touch } from '@cyclamengate/batches/peerRouter';
import { encodeRecord } from '@cyclamengate/batches/recordPieces';
import type Clock from '@cyclamengate/common/Clock';
import type { EventLog } from '@cyclamengate/common/newEventLog';
import newId from '@cyclamengate/common/newId';
import newStoreWriter from '@cyclamengate/store/newStoreWriter';
import type { WriteOutcome } from '@cyclamengate/store/newStoreWriter';
import newTopicFollower from '@cyclamengate/store/newTopicFollower';
import newTrimmer from '@cyclamengate/store/newTrimmer';
import type Store from '@cyclamengate/store/Store';

const TOPIC = 'batches';
/** Texts that are under way; read by a host that takes a batch over. */
const PARTS_TOPIC = 'parts';
/** Least time between two reads: bounds the calls of many hosts, and delays a result by as much. */
const PACE_MS = 80;

/** A batch is due 7.5 s after it was sent first; kept later than this it is of use to nobody. */
const BEGUN_MS = 9_000;

/** A store that is there is read to its end within some milliseconds. */
const IN_TOUCH_MS = 300;
/**
 * After an outage for all some hosts read again a second or two before others, which wait for calls
 * that hang. Those are not cut off, and would hand batches to and fro.
 */
const STEADY_MS = 2_500;

export interface BatchStoreOptions {
  clock: Clock;
  log: EventLog;
  store: Store;
  host: string;
  incarnation: string;
  lifeMs: number;
  /** How much rarer to read, with many hosts. */
  paceFactor: () => number;
}

/** Batches, followed in the store, and the way to write to them. */
const newBatchStore = (options: BatchStoreOptions) => {
  const { clock, log, store, host, incarnation, lifeMs, paceFactor } = options;

  const partTexts = newPartTexts(clock);
  const batches = newBatches({ clock, lifeMs, parts: partTexts });
  const follower = newTopicFollower({
    clock,
    log,
    store,
    topic: TOPIC,
    readPaceMs: () => PACE_MS * paceFactor(),
    apply: newRecordReader({ log, topic: TOPIC, schema: batchRecordSchema, apply: batches.apply }),
  });
  const writer = newStoreWriter({ clock, log, store, topic: TOPIC, producer: incarnation });

  const texts = newTexts({ clock, log, store, producer: incarnation });

  const encode = (record: { type: string }): Buffer[] => encodeRecord(record, newId('record'));

  /** Until its head stands nobody knows of a batch, so it has not run and never will. */
  const writeBatch = async (
    batch: Batch,
    begun: BatchBegun | null,
    deadline: number,
  ): Promise<WriteOutcome> => {
    const place = await texts.write(batch.id, JSON.stringify(batch.items), deadline);
    if (!place) return 'not-written';
    const records = [newBatchHead(batch, place), ...(begun ? [begun] : [])];
    return writer.write(records.flatMap(encode), deadline);
  };

  const applyParts = newRecordReader({
    log,
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
      partTexts.forgetOld();
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
  const trimParts = newTrimmer({ clock, log, store, topic: PARTS_TOPIC, lifeMs: PART_LIFE_MS });

  const writePart = async (part: Part, deadline: number): Promise<WriteOutcome> => {
    const placed = await partWriter.place(encode(part), deadline);
    if (placed.offset !== null) trimParts(placed.offset);
    return placed.outcome;
  };

  const begunBy = (batch: Batch, from: string | null): BatchBegun => ({
    type: 'batch-begun',
    batch: batch.id,
    host,
    incarnation,
    from,
  });

  /** Brings a batch that the store may not have to it, with who runs it. */
  const bringBegun = async (batch: Batch, from: string | null): Promise<void> => {
    const outcome = await writeBatch(batch, begunBy(batch, from), clock.now() + BEGUN_MS);
    log.info('batch.begun-kept', { batch: batch.id, outcome });
    if (outcome === 'written') batches.noteStored(batch.id);
    else batches.withdraw(batch.id);
  };

  /** Tells all hosts who runs a batch that the store has. */
  const noteTaken = async (batch: Batch, from: string): Promise<void> => {
    const outcome = await writer.write(encode(begunBy(batch, from)), clock.now() + BEGUN_MS);
    log.info('batch.taken-over', { batch: batch.id, from, outcome });
    if (outcome !== 'written') batches.withdraw(batch.id);
  };

  const touch = async (): Promise<Touch> => {
    if (!(await follower.catchUp(clock.now() + IN_TOUCH_MS))) return 'none';
    return clock.now() > follower.steadySince() + STEADY_MS ? 'steady' : 'new';
  };

  return {
    batches,
    /** How well the batches can be read to their end: not at all, again of late, or for some time. */
    touch,
    /** Begins a batch that the store does not have yet, and brings it there with who began it. */
    begin: (batch: Batch): void => {
      if (batches.begin(batch)) bringBegun(batch, null);
    },
    /** Goes on with a batch that another host hands over, from the texts that come with it. */
    takeOver: ({ batch, texts: handed, from }: Handover): void => {
      handed.forEach(partTexts.apply);
      if (batches.begin(batch)) bringBegun(batch, from);
      else if (batches.adopt(batch)) noteTaken(batch, from);
    },
    texts,
    requests: newRequestReader({ clock, log, readTexts: texts.read }),
    readParts: parts.catchUp,
    writePart,
    run: follower.run,
    catchUp: follower.catchUp,
    freshAt: follower.freshAt,
    isAway: follower.isLost,
    write: (change: BatchChange, deadline: number): Promise<WriteOutcome> =>
      change.type === 'batch'
        ? writeBatch(change, null, deadline)
        : writer.write(encode(change), deadline),
  };
};

export type BatchStore = ReturnType<typeof newBatchStore>;

export default newBatchStore;
