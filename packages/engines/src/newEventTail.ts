import findEventEnd from './findEventEnd.js';

/** The line ends after an event may arrive in two chunks. */
const KEPT_BYTES = 2;

/** Counts the bytes of a stream of events since its last complete event. */
const newEventTail = () => {
  let lastBytes: Buffer = Buffer.alloc(0);
  let pendingBytes = 0;

  return {
    /** @returns the bytes that belong to no complete event yet; 0 between events */
    add: (chunk: Buffer): number => {
      const bytes = Buffer.concat([lastBytes, chunk]);
      const end = findEventEnd(bytes);
      pendingBytes = end === 0 ? pendingBytes + chunk.length : bytes.length - end;
      lastBytes = Buffer.from(bytes.subarray(-KEPT_BYTES));
      return pendingBytes;
    },
    pendingBytes: (): number => pendingBytes,
  };
};

export default newEventTail;
