/** What there is of an item's text so far. */
export interface Progress {
  /** The data of each event, in order. */
  events: string[];
  /** Id of the last event; null before the first. */
  lastEventId: string | null;
  /** Versions of the weights that generated these events. */
  versions: number[];
}

export const newProgress = (): Progress => ({ events: [], lastEventId: null, versions: [] });

/** Whether text may go into a batch: none of it older than allowed. */
export const isFreshEnough = ({ versions }: Pick<Progress, 'versions'>, least: number): boolean =>
  versions.every((version) => version >= least);
