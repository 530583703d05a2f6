import { keyOf } from './textRecords.js';

/** A step's texts are some 200 KB, and its trainer asks for them within seconds. */
const MOST_BYTES = 4_000_000;

/** Records of texts that were written or read here lately, up to a number of bytes. */
const newTextCache = (mostBytes: number = MOST_BYTES) => {
  const records = new Map<string, Buffer>();
  let bytes = 0;

  const dropOldest = (): void => {
    const [oldest] = records.keys();
    if (oldest === undefined) return;
    bytes -= records.get(oldest)?.length ?? 0;
    records.delete(oldest);
  };

  return {
    put: (topic: string, offset: number, body: Buffer): void => {
      const key = keyOf({ topic, offset });
      if (records.has(key)) return;
      // A copy: the record is a slice of a page, which would stay in memory as a whole.
      records.set(key, Buffer.from(body));
      bytes += body.length;
      while (bytes > mostBytes) dropOldest();
    },
    get: (topic: string, offset: number): Buffer | undefined =>
      records.get(keyOf({ topic, offset })),
  };
};

export type TextCache = ReturnType<typeof newTextCache>;

export default newTextCache;
