import type { LogRecord } from '@cyclamengate/platform/logRecord';

const MAX_RECORDS = 2_048;
const MAX_BYTES = 4_194_304;
const MAX_PAGE_RECORDS = 256;

/** Buffers the newest records for peers that read from this host instead of the log. */
const newRecordRing = () => {
  let records: LogRecord[] = [];
  let bytes = 0;

  const trim = (): void => {
    let dropCount = Math.max(0, records.length - MAX_RECORDS);
    while (bytes > MAX_BYTES && dropCount < records.length - 1) {
      bytes -= records[dropCount]?.body.length ?? 0;
      dropCount += 1;
    }
    if (dropCount > MAX_RECORDS / 8 || bytes > MAX_BYTES) records = records.slice(dropCount);
  };

  return {
    push: (record: LogRecord): void => {
      records.push(record);
      bytes += record.body.length;
      trim();
    },
    /** Deletes all records after offsets were skipped, since the records must be contiguous. */
    clear: (): void => {
      records = [];
      bytes = 0;
    },
    /** The oldest offset in the buffer, or the given offset if the buffer is empty. */
    first: (fallback: number): number => records[0]?.offset ?? fallback,
    from: (offset: number): LogRecord[] => {
      const oldest = records[0]?.offset ?? 0;
      const start = Math.max(0, offset - oldest);
      return records.slice(start, start + MAX_PAGE_RECORDS);
    },
  };
};

export type RecordRing = ReturnType<typeof newRecordRing>;

export default newRecordRing;
