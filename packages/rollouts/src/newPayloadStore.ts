import digest from '@cyclamengate/common/digest';

const MOST_BYTES = 16_777_216;

/**
 * Samples in memory, by digest. Bounded: the oldest go first, and a slot that lost all its copies
 * before it was offered is made anew.
 */
const newPayloadStore = () => {
  const payloads = new Map<string, string>();
  let bytes = 0;

  const trim = (): void => {
    payloads.forEach((payload, payloadDigest) => {
      if (bytes <= MOST_BYTES) return;
      payloads.delete(payloadDigest);
      bytes -= payload.length;
    });
  };

  return {
    /** @returns whether it was kept; one that does not match its digest is not */
    keep: (payloadDigest: string, payload: string): boolean => {
      if (digest(payload) !== payloadDigest) return false;
      if (payloads.has(payloadDigest)) return true;
      payloads.set(payloadDigest, payload);
      bytes += payload.length;
      trim();
      return true;
    },
    read: (payloadDigest: string): string | null => payloads.get(payloadDigest) ?? null,
    bytes: (): number => bytes,
  };
};

export type PayloadStore = ReturnType<typeof newPayloadStore>;

export default newPayloadStore;
