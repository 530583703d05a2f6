/** Weight of a run that was probably not the cause. */
const UNLIKELY_WEIGHT = 0.5;

/**
 * How much the end of an upstream counts against a request that ran there, from 0 to 1.
 *
 * A request that crashes an upstream mostly does so as it begins; the runs beside it have received
 * text by then. They count less, so that an item which is taken along twice is not held for it.
 * @param hasGivenText whether the run, or the one that it resumed, had yielded a part of the answer
 * @param runsThere runs of this host that the upstream broke off, this one among them
 */
const computeCrashWeight = (hasGivenText: boolean, runsThere: number): number =>
  !hasGivenText || runsThere === 1 ? 1 : UNLIKELY_WEIGHT;

export default computeCrashWeight;
