/** Time of a token on an engine of usual pace: an event of 63 tokens takes 46 ms. */
const USUAL_TOKEN_MS = 0.73;
/** Half of all hints are too high, many by a factor of two. */
const MIN_REST_SHARE = 0.5;
/** A late group no longer gives way after this time, so that its trainer can go on. */
const GIVES_WAY_MS = 2_000;

/** Expected time in which an engine generates tokens, in milliseconds. */
export const estimateRunMs = (tokens: number, pace: number): number =>
  tokens * USUAL_TOKEN_MS * pace;

/**
 * Whether an item can't be complete in time any more and gives its place to others: it is due too
 * soon even if only half of what is expected is left, on the fastest engine.
 * @param dueAt wall time; null if it is never due
 */
export const isLateAt = (
  wallTime: number,
  dueAt: number | null,
  restTokens: number,
  bestPace: number,
): boolean =>
  dueAt !== null &&
  wallTime < dueAt + GIVES_WAY_MS &&
  wallTime + estimateRunMs(restTokens * MIN_REST_SHARE, bestPace) > dueAt;
