import digest from '@cyclamengate/common/digest';

const MAX_BYTES = 16_777_216;

/**
 * Samples in memory, by digest. When the store is full, the oldest samples are evicted; a slot that
 * lost all copies before it was offered is generated again.
 */
const newPayloadStore = () => {
  const payloads = new Map<string, string>();
  let bytes = 0;

  const evictOldest = (): void => {
    payloads.forEach((payload, payloadDigest) => {
      if (bytes <= MAX_BYTES) return;
      payloads.delete(payloadDigest);
      bytes -= payload.length;
    });
  };

  return {
    /** @returns whether the payload was stored; false if it does not match its digest */
    put: (payloadDigest: string, payload: string): boolean => {
      if (digest(payload) !== payloadDigest) return false;
      if (payloads.has(payloadDigest)) return true;
      payloads.set(payloadDigest, payload);
      bytes += payload.length;
      evictOldest();
      return true;
    },
    read: (payloadDigest: string): string | null => payloads.get(payloadDigest) ?? null,
    bytes: (): number => bytes,
  };
};

export type PayloadStore = ReturnType<typeof newPayloadStore>;

export default newPayloadStore;
