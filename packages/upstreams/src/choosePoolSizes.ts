import type { PoolSettings, ServiceSettings } from '@cyclamengate/settings/serviceSettings';

/** Fraction of the slots that demand may use before more upstreams are ordered. */
const TARGET_UTILISATION = 0.8;

export interface PoolSizesRequest {
  service: ServiceSettings;
  /** Running and queued requests over all hosts. */
  demand: number;
  failureDomain: string;
  /** Whether a pool is unavailable at the moment, e.g. because it was recently reclaimed. */
  isAvoided: (pool: PoolSettings) => boolean;
}

/** Available pools of the failure domain, cheapest first. */
const usablePoolsByPrice = ({
  service,
  failureDomain,
  isAvoided,
}: PoolSizesRequest): PoolSettings[] =>
  service.pools
    .filter((pool) => pool.failureDomain === failureDomain && !isAvoided(pool))
    .sort((left, right) => left.pricePerHour - right.pricePerHour);

/**
 * Chooses how many upstreams of each kind one failure domain should run for a service: the minimum
 * of every pool, then more of the cheapest pools until they can serve the domain's share of the
 * demand.
 * @returns the wanted number of upstreams by pool, for all pools of the domain
 */
const choosePoolSizes = (request: PoolSizesRequest): Map<PoolSettings, number> => {
  const { service, demand, failureDomain } = request;
  const domains = new Set(service.pools.map((pool) => pool.failureDomain)).size;
  const needed = Math.ceil(
    demand / Math.max(1, domains) / (service.slotsPerUpstream * TARGET_UTILISATION),
  );
  const sizes = new Map<PoolSettings, number>(
    service.pools
      .filter((pool) => pool.failureDomain === failureDomain)
      .map((pool) => [pool, 0] as const),
  );
  const usable = usablePoolsByPrice(request);
  usable.forEach((pool) => sizes.set(pool, pool.minUpstreams));
  let missing = needed - usable.reduce((sum, pool) => sum + pool.minUpstreams, 0);
  usable.forEach((pool) => {
    const extra = Math.max(0, Math.min(missing, pool.maxUpstreams - pool.minUpstreams));
    sizes.set(pool, pool.minUpstreams + extra);
    missing -= extra;
  });
  return sizes;
};

export default choosePoolSizes;
