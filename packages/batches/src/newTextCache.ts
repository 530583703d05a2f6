import { recordKey } from './textRecords.js';

/** The texts of a step are about 200 KB, and its trainer requests them within seconds. */
const MAX_BYTES = 4_000_000;
/** Records may be empty. */
const MAX_RECORDS = 50_000;

/** Caches text records that this host has recently written or read, up to a number of bytes. */
const newTextCache = (maxBytes: number = MAX_BYTES) => {
  const records = new Map<string, Buffer>();
  let bytes = 0;

  const evictOldest = (): void => {
    const [oldest] = records.keys();
    if (oldest === undefined) return;
    bytes -= records.get(oldest)?.length ?? 0;
    records.delete(oldest);
  };

  return {
    put: (topic: string, offset: number, body: Buffer): void => {
      const key = recordKey({ topic, offset });
      if (records.has(key)) return;
      // Copied, since the record is a slice of a page that would stay in memory as a whole.
      records.set(key, Buffer.from(body));
      bytes += body.length;
      while (bytes > maxBytes || records.size > MAX_RECORDS) evictOldest();
    },
    get: (topic: string, offset: number): Buffer | undefined =>
      records.get(recordKey({ topic, offset })),
  };
};

export type TextCache = ReturnType<typeof newTextCache>;

export default newTextCache;
