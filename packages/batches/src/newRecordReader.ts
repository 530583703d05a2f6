import type { EventLog } from '@cyclamengate/common/newEventLog';
import parseRecord from '@cyclamengate/common/parseRecord';
import { restore } from '@cyclamengate/common/restore';
import type { StoredRecord } from '@cyclamengate/store/Store';
import type { ZodType } from 'zod';
import { newRecordAssembler } from './recordPieces.js';

export interface RecordReaderOptions<T> {
  log: EventLog;
  topic: string;
  schema: ZodType<T>;
  apply: (record: T, offset: number) => void;
}

/** Reassembles and parses the records of a topic, and applies the valid ones. */
const newRecordReader = <T>({ log, topic, schema, apply }: RecordReaderOptions<T>) => {
  const assemble = newRecordAssembler();

  return (records: StoredRecord[]): void =>
    records.forEach(({ offset, body }) => {
      const raw = assemble(parseRecord(body));
      if (raw === null) return;
      const restored = restore(schema, raw);
      if (restored.ok) apply(restored.val, offset);
      else log.warn('record.unreadable', { topic, offset, problems: restored.val.slice(0, 3) });
    });
};

export default newRecordReader;
