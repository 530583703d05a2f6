import type { UpstreamEntry } from './upstreamEntry.js';

/** Bounds on the upstreams of a service in each failure domain. */
export interface ScaleBounds {
  least: number;
  most: number;
}

/** Upstreams of one failure domain that should run. */
export interface WantedUpstreams {
  ordinary: number;
  /** At the lower price, and reclaimed at a few seconds' notice. */
  spot: number;
}

/** Part of the slots that may be taken before more are wanted: stragglers leave slots half used. */
const FULL_PART = 0.9;

/**
 * How many upstreams a failure domain should run.
 *
 * A step arrives at once, and is whole when its slowest item is: an item that waits for a slot ends
 * later by as much as it waited. So there should be a slot for every item that is open at the peak.
 * What is there at the ordinary price stays, since it is never reclaimed; what is wanted beyond it
 * is taken at the lower price, since items go on elsewhere after their last event. While none is to
 * be had at that price, the ordinary one is paid.
 *
 * @param peakItems most items that were open at a time lately, in all failure domains
 * @param entries upstreams of this failure domain
 */
const planScale = (
  peakItems: number,
  domains: number,
  entries: UpstreamEntry[],
  { least, most }: ScaleBounds,
  isSpotAvailable: boolean,
): WantedUpstreams => {
  const usable = entries.filter(({ isDraining }) => !isDraining);
  const slots = Math.max(1, ...entries.map((entry) => entry.slots));
  const needed = Math.ceil(peakItems / slots / FULL_PART / Math.max(1, domains));
  const wanted = Math.min(most, Math.max(least, needed));
  const ordinary = usable.filter(({ isSpot }) => !isSpot).length;
  const missing = Math.max(0, wanted - ordinary);
  return isSpotAvailable
    ? { ordinary: Math.max(least, ordinary), spot: missing }
    : { ordinary: Math.max(least, ordinary + missing), spot: 0 };
};

export default planScale;
