const FIRST_DELAY_MS = 50;
const LONGEST_DELAY_MS = 2_000;

/**
 * When to try again after so many failures in a row: exponential with full jitter, so that many
 * hosts that lost the same service do not return to it in step.
 * @returns a deadline on the clock that gave `now`
 */
const backoff = (now: number, failures: number, random: () => number = Math.random): number =>
  now +
  Math.min(LONGEST_DELAY_MS, FIRST_DELAY_MS * 2 ** Math.min(failures, 10)) * (0.5 + random() / 2);

export default backoff;
