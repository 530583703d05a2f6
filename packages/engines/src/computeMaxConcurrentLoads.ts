/** The weight store's bandwidth suffices for about a third of all engines; this stays below that. */
const CONCURRENT_LOAD_FRACTION = 1 / 4;

/**
 * Maximum number of a failure domain's engines that may load weights at the same time. With more,
 * each load takes longer; with fewer, most engines of a large failure domain lag behind the newest
 * versions.
 *
 * @param engines number of engines in the failure domain
 */
const computeMaxConcurrentLoads = (engines: number): number =>
  Math.max(1, Math.floor(engines * CONCURRENT_LOAD_FRACTION));

export default computeMaxConcurrentLoads;
