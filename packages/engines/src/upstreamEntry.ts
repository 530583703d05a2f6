/** A model and the version of its weights that an engine holds. */
export interface LoadedModel {
  model: string;
  version: number;
}

/** An upstream as described by its entry in the store. */
export interface UpstreamEntry {
  /** Usually unique to one incarnation, but an upstream may restart under the same id. */
  id: string;
  service: string;
  host: string;
  port: number;
  failureDomain: string;
  slots: number;
  isDraining: boolean;
  /** Whether the upstream is billed at the lower price and may be reclaimed. */
  isSpot: boolean;
  /** Start time in Unix milliseconds; distinguishes incarnations that share an id. */
  startedAt: number;
  /** Rises with each entry of one incarnation; null or left out if the upstream states none. */
  sequence?: number | null;
  /** When it stops being cold by what it says itself, on the monotonic clock. */
  coldUntil: number;
  models: LoadedModel[];
}

/** Identifies one incarnation of an upstream. */
export const getIncarnationKey = ({ id, startedAt }: UpstreamEntry): string => `${id}@${startedAt}`;

/** Whether two entries of one id describe the same incarnation of the upstream. */
export const isSameIncarnation = (left: UpstreamEntry, right: UpstreamEntry): boolean =>
  left.startedAt === right.startedAt && left.host === right.host && left.port === right.port;

/** The version of a model that an upstream holds; 0 if it does not hold the model. */
export const getLoadedVersion = (entry: UpstreamEntry, model: string): number =>
  entry.models.find((loaded) => loaded.model === model)?.version ?? 0;
