import type { UpstreamEntry } from './upstreamEntry.js';

/** Bounds on the number of a service's upstreams in each failure domain. */
export interface ScaleBounds {
  minUpstreams: number;
  maxUpstreams: number;
}

/** Number of upstreams that should run in one failure domain. */
export interface WantedUpstreams {
  ordinary: number;
  /** Cheaper upstreams that may be reclaimed at a few seconds' notice. */
  spot: number;
}

/** Fraction of slots in use above which upstreams are added: stragglers leave slots half used. */
const TARGET_UTILIZATION = 0.9;

/**
 * Computes how many upstreams a failure domain should run.
 *
 * All items of a step arrive together, and the step completes with its slowest item, so the time an
 * item waits for a slot delays the step. There should be a slot for every item that is open at the
 * peak. Running ordinary upstreams are kept, since they are never reclaimed. Further ones are spot
 * upstreams, since items resume elsewhere after their last event; while no spot upstreams are
 * available, ordinary ones are ordered instead.
 *
 * @param peakItems recent maximum of concurrently open items, in all failure domains
 * @param domains number of failure domains
 * @param entries upstreams of this failure domain
 */
const planScale = (
  peakItems: number,
  domains: number,
  entries: UpstreamEntry[],
  { minUpstreams, maxUpstreams }: ScaleBounds,
  isSpotAvailable: boolean,
): WantedUpstreams => {
  const usable = entries.filter(({ isDraining }) => !isDraining);
  const slots = Math.max(1, ...entries.map((entry) => entry.slots));
  const needed = Math.ceil(peakItems / slots / TARGET_UTILIZATION / Math.max(1, domains));
  const wanted = Math.min(maxUpstreams, Math.max(minUpstreams, needed));
  const ordinary = usable.filter(({ isSpot }) => !isSpot).length;
  const missing = Math.max(0, wanted - ordinary);
  return isSpotAvailable
    ? { ordinary: Math.max(minUpstreams, ordinary), spot: missing }
    : { ordinary: Math.max(minUpstreams, ordinary + missing), spot: 0 };
};

export default planScale;
