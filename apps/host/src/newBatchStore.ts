import newBatches from '@cyclamengate/batches/newBatches';
import { batchRecordSchema } from '@cyclamengate/batches/batchRecord';
import type { BatchRecord } from '@cyclamengate/batches/batchRecord';
import { encodeRecord, newRecordAssembler } from '@cyclamengate/batches/recordPieces';
import type Clock from '@cyclamengate/common/Clock';
import type { EventLog } from '@cyclamengate/common/newEventLog';
import newId from '@cyclamengate/common/newId';
import parseRecord from '@cyclamengate/common/parseRecord';
import { restore } from '@cyclamengate/common/restore';
import newStoreWriter from '@cyclamengate/store/newStoreWriter';
import type { WriteOutcome } from '@cyclamengate/store/newStoreWriter';
import newTopicFollower from '@cyclamengate/store/newTopicFollower';
import type Store from '@cyclamengate/store/Store';
import type { StoredRecord } from '@cyclamengate/store/Store';

const TOPIC = 'batches';
/** Least time between two reads: bounds the calls of many hosts, and delays a result by as much. */
const PACE_MS = 80;

export interface BatchStoreOptions {
  clock: Clock;
  log: EventLog;
  store: Store;
  incarnation: string;
  lifeMs: number;
}

/** Batches, followed in the store, and the way to write to them. */
const newBatchStore = ({ clock, log, store, incarnation, lifeMs }: BatchStoreOptions) => {
  const batches = newBatches({ clock, lifeMs });
  const assemble = newRecordAssembler();

  const apply = (records: StoredRecord[]): void =>
    records.forEach(({ offset, body }) => {
      const raw = assemble(parseRecord(body));
      if (raw === null) return;
      const restored = restore(batchRecordSchema, raw);
      if (restored.ok) batches.apply(restored.val);
      else log.warn('batches.unreadable', { offset, problems: restored.val.slice(0, 3) });
    });

  const follower = newTopicFollower({ clock, log, store, topic: TOPIC, paceMs: PACE_MS, apply });
  const writer = newStoreWriter({ clock, log, store, topic: TOPIC, producer: incarnation });

  return {
    batches,
    run: follower.run,
    catchUp: follower.catchUp,
    freshAt: follower.freshAt,
    write: (record: BatchRecord, deadline: number): Promise<WriteOutcome> =>
      writer.write(encodeRecord(record, newId('record')), deadline),
  };
};

export type BatchStore = ReturnType<typeof newBatchStore>;

export default newBatchStore;
