import type { UpstreamEntry } from './upstreamEntry.js';

/** An upstream with the data that the choice is based on. */
export interface Candidate {
  entry: UpstreamEntry;
  /** Estimated number of requests at the upstream, from all hosts. */
  load: number;
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

/**
 * Time until a request would be finished at an upstream, relative to that of a request alone at a
 * common upstream; less one.
 */
const estimateDelay = ({ entry, load, pace }: Candidate): number => {
  const utilization = (load + 1) / Math.max(1, entry.slots);
  if (load < entry.slots) return utilization * pace + (pace - 1);
  // At a full upstream the request has to wait for a slot, which outweighs all other costs.
  const queueing = 1 + (load - entry.slots) / entry.slots;
  // How long the requests before it will take is unknown, also at a fast upstream.
  return pace < 1
    ? 1 + (utilization + queueing - 1) * pace
    : (utilization + queueing) * pace + (pace - 1);
};

/**
 * Chooses the upstream on which a request is likely to finish first: the one with the lowest
 * utilization, weighted by its pace. A fast upstream is preferred while it has a free slot.
 * Upstreams in back-off are chosen only if there are no others, so that a service is never left
 * without upstreams; cold ones at their limit never are.
 */
const chooseUpstream = (
  candidates: Candidate[],
  random: () => number = Math.random,
): Candidate | null => {
  const startable = candidates.filter(({ remainingStarts }) => remainingStarts > 0);
  const available = startable.filter(({ isBackedOff }) => !isBackedOff);
  const eligible = available.length > 0 ? available : startable;
  const estimateCost = (candidate: Candidate): number =>
    estimateDelay(candidate) +
    (candidate.isOwnDomain ? 0 : CROSS_DOMAIN_COST) +
    (candidate.isConnected ? 0 : NEW_CONNECTION_COST);
  const ranked = eligible
    .map((candidate) => ({ candidate, cost: estimateCost(candidate) + random() * 0.01 }))
    .sort((left, right) => left.cost - right.cost);
  return ranked[0]?.candidate ?? null;
};

export default chooseUpstream;
