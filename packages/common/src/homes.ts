/** Regions in which a request may run; null for all, empty for none. */
export type Homes = ReadonlySet<string> | null;

/** The region of each failure domain. */
export type Regions = Readonly<Record<string, string>>;

/** Intersection of two limits on the regions; both bind where both are set. */
export const intersectHomes = (left: Homes, right: Homes): Homes => {
  if (left === null) return right;
  if (right === null) return left;
  return new Set([...left].filter((region) => right.has(region)));
};

/** Identifies homes, so that work with the same ones is treated together. */
export const describeHomes = (homes: Homes): string =>
  homes === null ? 'all' : [...homes].sort().join(' ');

/** Whether a failure domain is in one of the homes. A domain whose region is not known is in none. */
export const isInHomes = (homes: Homes, failureDomain: string, regions: Regions): boolean => {
  const region = regions[failureDomain];
  return homes === null || (region !== undefined && homes.has(region));
};
