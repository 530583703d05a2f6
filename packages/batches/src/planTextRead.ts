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

/**
 * Where to read next: at the first record that is missing, or a little before it, where one lies that
 * is wanted too. Only a read that starts at the first one is sure to bring it, and without it none of
 * those behind it can be given; so a read that began before it and missed it is followed by that.
 */
const planTextRead = (
  missing: RecordPlace[],
  first: RecordPlace,
  { mostKb, mayBeginBefore }: { mostKb: number; mayBeginBefore: boolean },
): TextRead => {
  const least = first.offset - (mayBeginBefore ? BEFORE_RECORDS : 0);
  const near = missing.filter(
    ({ topic, offset }) =>
      topic === first.topic && offset >= least && offset < first.offset + AFTER_RECORDS,
  );
  const bytes = near.reduce((sum, record) => sum + record.bytes, 0);
  const wanted = (near.length > 1 ? bytes * READ_FACTOR : bytes) + PAGE_OVERHEAD_BYTES;
  const kb = Math.max(LEAST_READ_KB, Math.ceil(wanted / BYTES_IN_KB));
  return {
    topic: first.topic,
    from: Math.min(...near.map(({ offset }) => offset)),
    mostKb: Math.min(kb, mostKb),
  };
};

export default planTextRead;
