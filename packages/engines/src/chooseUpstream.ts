import median from '@cyclamengate/common/median';
import type { UpstreamEntry } from './upstreamEntry.js';

/** An upstream with the data that the choice is based on. */
export interface Candidate {
  entry: UpstreamEntry;
  /** Estimated number of requests at the upstream, from all hosts. */
  load: number;
  /** Median time of a unit of work, in milliseconds; null while unknown. */
  latencyMs: number | null;
  /**
   * Time that work takes there now, relative to the other upstreams of its service: 0.5 where it
   * takes half as long; 1 while unknown.
   */
  pace: number;
  /** The pace without what the upstream says of this moment. */
  lastingPace: number;
  /** Whether the upstream is in back-off after a failure. */
  isBackedOff: boolean;
  isOwnDomain: boolean;
  /** Whether a connection is open, so that a request needs no new one. */
  isConnected: boolean;
  /** Requests that may be sent to it now; infinite unless it is cold. */
  remainingStarts: number;
}

/** In slots: a call to another failure domain costs its traffic and about 2 ms. */
const CROSS_DOMAIN_COST = 0.1;
/**
 * In slots: a new connection costs a round trip, 1 ms of the upstream's work and temporarily a
 * slot. Below the cost of one request at an upstream with eight slots, so that load takes
 * precedence.
 */
const NEW_CONNECTION_COST = 0.1;

/** Median of the upstreams' latencies; null while none is known. */
export const findMedianLatencyMs = (upstreams: Candidate[]): number | null =>
  median(upstreams.flatMap(({ latencyMs }) => (latencyMs === null ? [] : [latencyMs])));

/** Ratio of an upstream's latency to the median; at least 1. */
export const computeSlowdown = (
  latencyMs: number | null,
  medianLatencyMs: number | null,
): number =>
  latencyMs === null || medianLatencyMs === null || medianLatencyMs === 0
    ? 1
    : Math.max(1, latencyMs / medianLatencyMs);

/**
 * Chooses the upstream on which a request is likely to finish first: the one with the lowest
 * utilization, weighted by how much slower the upstream is than its peers. Upstreams in back-off
 * are chosen only if there are no others, so that a service is never left without upstreams; cold
 * ones at their limit never are.
 */
const chooseUpstream = (
  candidates: Candidate[],
  random: () => number = Math.random,
): Candidate | null => {
  const startable = candidates.filter(({ remainingStarts }) => remainingStarts > 0);
  const available = startable.filter(({ isBackedOff }) => !isBackedOff);
  const eligible = available.length > 0 ? available : startable;
  const medianLatencyMs = findMedianLatencyMs(eligible);
  const estimateCost = (candidate: Candidate): number => {
    const { entry, load, latencyMs } = candidate;
    const slowdown = computeSlowdown(latencyMs, medianLatencyMs);
    const utilization = (load + 1) / Math.max(1, entry.slots);
    // At a full upstream the request has to wait for a slot, which outweighs all other costs.
    const queueing = load >= entry.slots ? 1 + (load - entry.slots) / entry.slots : 0;
    const networkCost =
      (candidate.isOwnDomain ? 0 : CROSS_DOMAIN_COST) +
      (candidate.isConnected ? 0 : NEW_CONNECTION_COST);
    return (utilization + queueing) * slowdown + (slowdown - 1) + networkCost;
  };
  const ranked = eligible
    .map((candidate) => ({ candidate, cost: estimateCost(candidate) + random() * 0.01 }))
    .sort((left, right) => left.cost - right.cost);
  return ranked[0]?.candidate ?? null;
};

export default chooseUpstream;
