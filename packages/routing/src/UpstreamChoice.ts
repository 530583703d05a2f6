import type { Upstream } from '@cyclamengate/upstreams/upstream';

/** Properties of a request that influence the choice. */
export interface ChoiceRequest {
  /** Requests with the same key benefit from the same upstream's prefix cache. */
  prefixKey: string;
  /** Whether the work can be resumed at another upstream if this one is reclaimed. */
  canResume: boolean;
}

/** A policy that selects one of the usable upstreams. */
export default abstract class UpstreamChoice {
  abstract choose(candidates: readonly Upstream[], request: ChoiceRequest): Upstream | null;
}
