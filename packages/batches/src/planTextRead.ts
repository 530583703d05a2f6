import type { RecordPlace } from './textRecords.js';

/**
 * Number of records by which a read may start before the first missing one: texts are written
 * nearly in the order of their results.
 */
const MAX_RECORDS_BEFORE = 16;
/** Number of records from the first missing one on that one page may cover. */
const MAX_RECORDS_AFTER = 256;
/** Records of other batches lie between wanted ones; one read should return all that are wanted. */
const READ_SIZE_FACTOR = 2;
/** Size of a page without its records. */
const PAGE_OVERHEAD_BYTES = 1_024;
const MIN_READ_KB = 16;
const BYTES_PER_KB = 1_024;

/** One call to the store for records of a topic. */
export interface TextRead {
  topic: string;
  from: number;
  maxKb: number;
}

export interface TextReadBounds {
  /** Maximum size of a page, unless a single record is larger. */
  maxKb: number;
  /** Whether a read may start at wanted records that are shortly before the first missing one. */
  mayStartEarlier: boolean;
}

const pageKb = (bytes: number): number => Math.ceil((bytes + PAGE_OVERHEAD_BYTES) / BYTES_PER_KB);

/**
 * Plans the next read. A read that starts before the first missing record also returns the
 * neighbours of that record, but may end before it. No text after the first missing one can be
 * returned without that one.
 */
const planTextRead = (
  missing: RecordPlace[],
  first: RecordPlace,
  { maxKb, mayStartEarlier }: TextReadBounds,
): TextRead => {
  const minOffset = first.offset - (mayStartEarlier ? MAX_RECORDS_BEFORE : 0);
  const nearby = missing.filter(
    ({ topic, offset }) =>
      topic === first.topic && offset >= minOffset && offset < first.offset + MAX_RECORDS_AFTER,
  );
  const start = nearby.reduce((lowest, record) =>
    record.offset < lowest.offset ? record : lowest,
  );
  const bytes = nearby.reduce((sum, record) => sum + record.bytes, 0);
  const wantedKb = Math.max(
    MIN_READ_KB,
    pageKb(nearby.length > 1 ? bytes * READ_SIZE_FACTOR : bytes),
  );
  return {
    topic: first.topic,
    from: start.offset,
    maxKb: Math.max(pageKb(start.bytes), Math.min(wantedKb, maxKb)),
  };
};

export default planTextRead;
