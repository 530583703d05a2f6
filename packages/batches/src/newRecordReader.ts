import type { OddValues, ValueSource } from '@cyclamengate/common/newOddValues';
import parseJson from '@cyclamengate/common/parseJson';
import { restore } from '@cyclamengate/common/restore';
import type { StoredRecord } from '@cyclamengate/store/Store';
import type { ZodType } from 'zod';
import { newRecordAssembler } from './recordPieces.js';

export interface RecordReaderOptions<T> {
  oddValues: OddValues;
  topic: ValueSource;
  schema: ZodType<T>;
  /** Reads frequent records without the schema; returns null for what the schema has to judge. */
  readFrequent?: (raw: unknown) => T | null;
  apply: (record: T, offset: number) => void;
}

/** Reassembles and parses the records of a topic, and applies the valid ones. */
const newRecordReader = <T>(options: RecordReaderOptions<T>) => {
  const { oddValues, topic, schema, readFrequent = () => null, apply } = options;
  const assemble = newRecordAssembler((reason) =>
    oddValues.reject(topic, 'record.pieces-dropped', { topic, reason }),
  );

  const applyValid = (raw: unknown, offset: number): void => {
    const restored = restore(schema, raw);
    if (restored.ok) {
      apply(restored.val, offset);
      return;
    }
    const problems = restored.val.slice(0, 3);
    oddValues.reject(topic, 'record.unreadable', { topic, offset, problems });
  };

  const read = ({ offset, body }: StoredRecord): void => {
    const parsed = parseJson(body.toString());
    if (!parsed.ok) {
      oddValues.reject(topic, 'record.unreadable', { topic, offset, reason: parsed.val });
      return;
    }
    const raw = assemble(parsed.val);
    if (raw === null) return;
    const frequent = readFrequent(raw);
    if (frequent === null) applyValid(raw, offset);
    else apply(frequent, offset);
  };

  return (records: StoredRecord[]): void =>
    records.forEach((record) =>
      oddValues.apply(topic, { offset: record.offset }, () => read(record)),
    );
};

export default newRecordReader;
