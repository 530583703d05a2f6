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
