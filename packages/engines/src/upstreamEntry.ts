/** Version of a model's weights that an engine holds. */
export interface LoadedModel {
  model: string;
  version: number;
}

/** An upstream as it describes itself in the store. */
export interface UpstreamEntry {
  /** Unique to one start of the upstream, mostly. */
  id: string;
  service: string;
  host: string;
  port: number;
  failureDomain: string;
  slots: number;
  isDraining: boolean;
  /** Whether it is billed at the lower price and may be reclaimed. */
  isSpot: boolean;
  /** Unix milliseconds of its start; two starts under one id differ here. */
  startedAt: number;
  models: LoadedModel[];
}

/** Names one run of an upstream: an upstream may start again under its id. */
export const runOf = ({ id, startedAt }: UpstreamEntry): string => `${id}@${startedAt}`;

/** Two entries of one id that stand for different runs of the upstream. */
export const isSameRun = (left: UpstreamEntry, right: UpstreamEntry): boolean =>
  left.startedAt === right.startedAt && left.host === right.host && left.port === right.port;

/** The version of a model that an upstream holds; 0 where it does not hold the model. */
export const versionOf = (entry: UpstreamEntry, model: string): number =>
  entry.models.find((loaded) => loaded.model === model)?.version ?? 0;
