const EVENT_END = Buffer.from('\n\n');
const ID_LINE = /^id: ?(.*)$/gm;

export interface WholeEvents {
  /** Bytes of the events that are whole now. */
  bytes: Buffer;
  /** Id of the last of them; null where none is new. */
  lastId: string | null;
  /** Whether no part of a further event has arrived. */
  isBetweenEvents: boolean;
}

/** Cuts a stream of events at their ends, so that only whole ones are passed on. */
const newEventSplitter = () => {
  let rest: Buffer = Buffer.alloc(0);

  return (chunk: Buffer): WholeEvents => {
    rest = rest.length === 0 ? chunk : Buffer.concat([rest, chunk]);
    const cut = rest.lastIndexOf(EVENT_END);
    const end = cut === -1 ? 0 : cut + EVENT_END.length;
    const bytes = rest.subarray(0, end);
    rest = rest.subarray(end);
    const ids = [...bytes.toString('utf8').matchAll(ID_LINE)];
    return {
      bytes,
      lastId: ids.at(-1)?.[1]?.trim() ?? null,
      isBetweenEvents: rest.length === 0,
    };
  };
};

export default newEventSplitter;
