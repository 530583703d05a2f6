import type { Upstream } from '@cyclamengate/upstreams/upstream';

/** What a choice may look at. */
export interface ChoiceRequest {
  /** Requests with the same value gain from the same upstream's cached prefix. */
  prefixKey: string;
  /** Whether the work may be cut off by a reclaim and go on elsewhere without harm. */
  canResume: boolean;
}

/** A policy that picks one of the usable upstreams. */
export default abstract class UpstreamChoice {
  abstract choose(candidates: readonly Upstream[], request: ChoiceRequest): Upstream | null;
}
