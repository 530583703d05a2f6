import findEventEnd from '@cyclamengate/engines/findEventEnd';

/** Only line feeds and carriage returns end a line; data may have other separators. */
const ID_LINE = /(?<![^\r\n])id: ?([^\r\n]*)/g;

export interface CompleteEvents {
  /** Bytes of the events that are now complete. */
  bytes: Buffer;
  /** Id of the last of these events that has one; null if none has. */
  lastId: string | null;
  /** Size of the partial event that is pending; 0 between events. */
  pendingBytes: number;
}

/** Splits a stream at event boundaries, so that only complete events are forwarded. */
const newEventSplitter = () => {
  let pending: Buffer = Buffer.alloc(0);

  return (chunk: Buffer): CompleteEvents => {
    pending = pending.length === 0 ? chunk : Buffer.concat([pending, chunk]);
    const end = findEventEnd(pending);
    const bytes = pending.subarray(0, end);
    pending = pending.subarray(end);
    const ids = [...bytes.toString('utf8').matchAll(ID_LINE)];
    return {
      bytes,
      lastId: ids.at(-1)?.[1]?.trim() ?? null,
      pendingBytes: pending.length,
    };
  };
};

export default newEventSplitter;
