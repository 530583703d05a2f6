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
  /** Reads frequent records without the schema; returns null for what the schema has to judge. */
  readFrequent?: (raw: unknown) => T | null;
  apply: (record: T, offset: number) => void;
}

/** Reassembles and parses the records of a topic, and applies the valid ones. */
const newRecordReader = <T>(options: RecordReaderOptions<T>) => {
  const { log, topic, schema, readFrequent = () => null, apply } = options;
  const assemble = newRecordAssembler();

  const applyValid = (raw: unknown, offset: number): void => {
    const restored = restore(schema, raw);
    if (restored.ok) apply(restored.val, offset);
    else log.warn('record.unreadable', { topic, offset, problems: restored.val.slice(0, 3) });
  };

  return (records: StoredRecord[]): void =>
    records.forEach(({ offset, body }) => {
      const raw = assemble(parseRecord(body));
      if (raw === null) return;
      const frequent = readFrequent(raw);
      if (frequent === null) applyValid(raw, offset);
      else apply(frequent, offset);
    });
};

export default newRecordReader;
