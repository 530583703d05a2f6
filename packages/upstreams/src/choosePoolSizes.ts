import type { PoolSettings, ServiceSettings } from '@cyclamengate/settings/serviceSettings';

/** Part of the slots that may be wanted before more upstreams are. */
const WANTED_UTILISATION = 0.8;

export interface WantedRequest {
  service: ServiceSettings;
  /** Requests running and waiting, over all hosts. */
  demand: number;
  failureDomain: string;
  /** Pools that can't be had at the moment, e.g. reclaimed a short while ago. */
  isAvoided: (pool: PoolSettings) => boolean;
}

/** Cheaper first; what is avoided counts as not there. */
const usableByPrice = ({ service, failureDomain, isAvoided }: WantedRequest): PoolSettings[] =>
  service.pools
    .filter((pool) => pool.failureDomain === failureDomain && !isAvoided(pool))
    .sort((left, right) => left.pricePerHour - right.pricePerHour);

/**
 * How many upstreams of each kind one failure domain should run for a service: every pool's
 * minimum, then more of the cheapest until the domain's part of the demand fits.
 * @returns wanted numbers by pool, for all pools of the domain
 */
const chooseWanted = (request: WantedRequest): Map<PoolSettings, number> => {
  const { service, demand, failureDomain } = request;
  const domains = new Set(service.pools.map((pool) => pool.failureDomain)).size;
  const needed = Math.ceil(
    demand / Math.max(1, domains) / (service.slotsPerUpstream * WANTED_UTILISATION),
  );
  const wanted = new Map<PoolSettings, number>(
    service.pools
      .filter((pool) => pool.failureDomain === failureDomain)
      .map((pool) => [pool, 0] as const),
  );
  const usable = usableByPrice(request);
  usable.forEach((pool) => wanted.set(pool, pool.minUpstreams));
  let missing = needed - usable.reduce((sum, pool) => sum + pool.minUpstreams, 0);
  usable.forEach((pool) => {
    const more = Math.max(0, Math.min(missing, pool.maxUpstreams - pool.minUpstreams));
    wanted.set(pool, pool.minUpstreams + more);
    missing -= more;
  });
  return wanted;
};

export default chooseWanted;
