/** A request may be running by chance on an upstream that crashes; twice is rare. */
const MIN_EVIDENCE = 2;
const INITIAL_HOLD_MS = 1_000;
/** A request that crashes all upstreams ends one at 0, 1, 6, 31 and 156 s. */
const HOLD_FACTOR = 5;
/** From this number of crashes on a request is not tried again while they are remembered. */
const MAX_CRASHES = 6;

/**
 * How long a request is held back after an upstream has ended under it, in milliseconds; infinite if
 * it has ended too many.
 *
 * Answers the load of a request that crashes each upstream that runs it, while its caller sends it
 * again. An upstream takes the requests that it runs beside with it, and those are sent to the next
 * one together, so innocent requests may meet two crashes in a row. They are held for a second,
 * which a training step bears, and their next run clears them. Work that is owed is held for less, see
 * `newCrashHistory`.
 * @param evidence sum of the weights of the crashes
 * @param crashes number of upstreams that have ended under the request
 */
const computeHoldMs = (evidence: number, crashes: number): number => {
  if (crashes >= MAX_CRASHES) return Number.POSITIVE_INFINITY;
  return evidence < MIN_EVIDENCE ? 0 : INITIAL_HOLD_MS * HOLD_FACTOR ** (evidence - MIN_EVIDENCE);
};

export default computeHoldMs;
