import digest from '@cyclamengate/common/digest';

/** A host that sends requests, and how many it is running. */
export interface RequestingHost {
  host: string;
  running: number;
}

/** Demand of a host that runs nothing, in requests: it may get requests at any moment. */
const IDLE_DEMAND = 0.05;
const HASH_HEX_DIGITS = 8;
const HASH_RANGE = 16 ** HASH_HEX_DIGITS;

const hashToFraction = (text: string): number =>
  Number.parseInt(digest(text).slice(0, HASH_HEX_DIGITS), 16) / HASH_RANGE;

/**
 * A host's share of the rate at which all hosts together may send requests to an upstream.
 *
 * Answers the load of hundreds of hosts that all see an upstream with free slots. Hosts do not agree
 * on each request: every host computes its own share from the same list of hosts, in proportion to
 * what each runs, since items come from a few hosts and calls from all. Shares are whole requests, as
 * most would round to nothing otherwise; which hosts get one differs by upstream.
 *
 * @param hosts all hosts that may send, in the same order on every host
 * @param ratePerSecond limit for all hosts together
 * @returns whole requests per second; 0 if the host is not listed
 */
const shareRate = (
  upstream: string,
  hosts: RequestingHost[],
  host: string,
  ratePerSecond: number,
): number => {
  const demands = hosts.map(({ running }) => running + IDLE_DEMAND);
  const total = demands.reduce((sum, demand) => sum + demand, 0);
  const position = hosts.findIndex((candidate) => candidate.host === host);
  if (position === -1) return 0;
  const before = demands.slice(0, position).reduce((sum, demand) => sum + demand, 0);
  const after = before + (demands[position] ?? 0);
  // The demands lie end to end, and one request belongs to each of `ratePerSecond` evenly spaced points.
  const start = hashToFraction(upstream);
  const countPointsBefore = (demand: number): number =>
    Math.ceil((demand / total) * ratePerSecond - start);
  return countPointsBefore(after) - countPointsBefore(before);
};

export default shareRate;
