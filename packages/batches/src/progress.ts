/** An item's text so far. */
export interface Progress {
  /** Data of each event, in order. */
  events: string[];
  /** Id of the last event; null before the first. */
  lastEventId: string | null;
  /** Versions of the weights that generated these events. */
  versions: number[];
}

export const newProgress = (): Progress => ({ events: [], lastEventId: null, versions: [] });

/** Whether a text contains no event of a version that is too old for a batch. */
export const meetsMinVersion = (
  { versions }: Pick<Progress, 'versions'>,
  minVersion: number,
): boolean => versions.every((version) => version >= minVersion);

/** Number of characters of a text. */
export const countCharacters = ({ events }: Pick<Progress, 'events'>): number =>
  events.reduce((sum, event) => sum + event.length, 0);

/** An event beside its characters. */
const EVENT_BYTES = 32;
/** A text is held as events, as a part that is saved, in pieces, and as the whole that is written. */
const COPIES_OF_TEXT = 4;

/** What a host holds of a text that consists of so many bytes and events. */
export const heldTextBytes = (bytes: number, events: number): number =>
  COPIES_OF_TEXT * (bytes + EVENT_BYTES * events);

/** What a host holds of a text. */
export const countTextBytes = ({ events }: Pick<Progress, 'events'>): number =>
  heldTextBytes(
    events.reduce((sum, event) => sum + Buffer.byteLength(event), 0),
    events.length,
  );
