import type { LogRecord } from '@cyclamengate/platform/logRecord';

const RECORDS_KEPT = 2_048;
const BYTES_KEPT = 4_194_304;
const PAGE_RECORDS = 256;

/** The newest records, for peers that read from this host instead of the log. Bounded in memory. */
const newRecordRing = () => {
  let records: LogRecord[] = [];
  let bytes = 0;

  const trim = (): void => {
    let drop = Math.max(0, records.length - RECORDS_KEPT);
    while (bytes > BYTES_KEPT && drop < records.length - 1) {
      bytes -= records[drop]?.body.length ?? 0;
      drop += 1;
    }
    if (drop > RECORDS_KEPT / 8 || bytes > BYTES_KEPT) records = records.slice(drop);
  };

  return {
    push: (record: LogRecord): void => {
      records.push(record);
      bytes += record.body.length;
      trim();
    },
    /** Forgets everything, after a jump over offsets that were never seen. */
    clear: (): void => {
      records = [];
      bytes = 0;
    },
    /** The oldest offset kept, or the one given when there is none. */
    first: (otherwise: number): number => records[0]?.offset ?? otherwise,
    from: (offset: number): LogRecord[] => {
      const oldest = records[0]?.offset ?? 0;
      const start = Math.max(0, offset - oldest);
      return records.slice(start, start + PAGE_RECORDS);
    },
  };
};

export type RecordRing = ReturnType<typeof newRecordRing>;

export default newRecordRing;
