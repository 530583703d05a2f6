/** Reads are held open for 0.5 s, so a view refreshes more often than this if the store answers. */
const MAX_READ_INTERVAL_MS = 1_200;

/**
 * Whether the store was unavailable between two times at which a view of it was complete.
 * @param before on the monotonic clock; minus infinity if the view was never complete
 */
const hadOutage = (before: number, at: number): boolean => at > before + MAX_READ_INTERVAL_MS;

export default hadOutage;
