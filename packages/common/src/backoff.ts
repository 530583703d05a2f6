const INITIAL_DELAY_MS = 50;
const MAX_DELAY_MS = 2_000;

/**
 * Computes when to retry after a number of consecutive failures. The delay grows exponentially and
 * is scaled by a random factor of 0.5 to 1, so that hosts that lost the same service at the same
 * time do not retry simultaneously.
 * @returns a deadline on the same clock as `now`
 */
const backoff = (now: number, failures: number, random: () => number = Math.random): number =>
  now +
  Math.min(MAX_DELAY_MS, INITIAL_DELAY_MS * 2 ** Math.min(failures, 10)) * (0.5 + random() / 2);

export default backoff;
