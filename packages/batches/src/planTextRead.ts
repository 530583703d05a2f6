import type { RecordPlace } from './textRecords.js';

/** Texts are written nearly in the order of their results: how far apart two are that changed places. */
const BEFORE_RECORDS = 16;
/** Records that one page may reach. */
const AFTER_RECORDS = 256;
/** Records of other batches lie between several that are wanted; one read should bring all. */
const READ_FACTOR = 2;
/** What a page has beside its records' bytes. */
const PAGE_OVERHEAD_BYTES = 1_024;
const LEAST_READ_KB = 16;
const BYTES_IN_KB = 1_024;

/** One call to the store for records of a topic. */
export interface TextRead {
  topic: string;
  from: number;
  mostKb: number;
}

export interface TextReadBounds {
  /** Unless a single record is larger. */
  mostKb: number;
  /** Whether to begin at wanted records that stand a little before the first missing one. */
  mayBeginBefore: boolean;
}

const kbOf = (bytes: number): number => Math.ceil((bytes + PAGE_OVERHEAD_BYTES) / BYTES_IN_KB);

/**
 * Where to read next. A read that begins before the first missing record brings its neighbours too,
 * but may end before it; and nothing behind the first one can be given without it.
 */
const planTextRead = (
  missing: RecordPlace[],
  first: RecordPlace,
  { mostKb, mayBeginBefore }: TextReadBounds,
): TextRead => {
  const least = first.offset - (mayBeginBefore ? BEFORE_RECORDS : 0);
  const near = missing.filter(
    ({ topic, offset }) =>
      topic === first.topic && offset >= least && offset < first.offset + AFTER_RECORDS,
  );
  const start = near.reduce((lowest, record) => (record.offset < lowest.offset ? record : lowest));
  const bytes = near.reduce((sum, record) => sum + record.bytes, 0);
  const wantedKb = Math.max(LEAST_READ_KB, kbOf(near.length > 1 ? bytes * READ_FACTOR : bytes));
  return {
    topic: first.topic,
    from: start.offset,
    mostKb: Math.max(kbOf(start.bytes), Math.min(wantedKb, mostKb)),
  };
};

export default planTextRead;
