import type { MemoryLease } from './newMemoryBudget.js';

const INITIAL_BYTES = 16_384;

/**
 * Collects a body in one buffer that grows with it. Joining the chunks at the end would hold the
 * body twice.
 * @param lease grows with the buffer; counts the old buffer too while it is copied
 * @param expectedBytes size of the body if it is known, otherwise 0
 */
const newBodyBuffer = (lease: MemoryLease, expectedBytes: number) => {
  let buffer = Buffer.allocUnsafeSlow(expectedBytes);
  let size = 0;

  const grow = (neededBytes: number): boolean => {
    if (neededBytes <= buffer.length) return true;
    const capacity = Math.max(INITIAL_BYTES, neededBytes, 2 * buffer.length);
    if (!lease.resize(buffer.length + capacity)) return false;
    const larger = Buffer.allocUnsafeSlow(capacity);
    buffer.copy(larger, 0, 0, size);
    buffer = larger;
    lease.resize(capacity);
    return true;
  };

  return {
    /** @returns false if the chunk does not fit into the memory budget */
    append: (chunk: Buffer): boolean => {
      if (!grow(size + chunk.length)) return false;
      chunk.copy(buffer, size);
      size += chunk.length;
      return true;
    },
    /** The body so far; later chunks do not change it. */
    bytes: (): Buffer => buffer.subarray(0, size),
  };
};

export default newBodyBuffer;
