/** The reply to a request that got no answer from an upstream. */
export interface Refusal {
  status: number;
  code: string;
  /** Delay before the caller may retry, in milliseconds; null if a retry does not help. */
  retryAfterMs: number | null;
}

/** A refusal that states that the request has not run and never will. */
export const notRun = (code: string, retryAfterMs: number): Refusal => ({
  status: 503,
  code,
  retryAfterMs,
});

/** Retry delay for callers if there is no upstream; about the time of a registry update. */
const NO_UPSTREAM_RETRY_DELAY_MS = 250;

/**
 * A refusal of a request that was not sent to any upstream.
 * @param heldUntil when a request that ended upstreams may run again; null if it is not held
 * @param now both times are on the monotonic clock
 */
export const notRunRefusal = (heldUntil: number | null, now: number): Refusal =>
  heldUntil === null
    ? notRun('no-upstream', NO_UPSTREAM_RETRY_DELAY_MS)
    : notRun('deadly-request', Math.max(0, heldUntil - now));

/** A refusal that leaves open whether the request has run. */
export const uncertain = (code: string, status: 502 | 504 = 502): Refusal => ({
  status,
  code,
  retryAfterMs: null,
});

/** The same refusal with a time to come back, unless that is null; times are monotonic. */
export const withRetryAt = (refusal: Refusal, retryAt: number | null, now: number): Refusal =>
  retryAt === null ? refusal : { ...refusal, retryAfterMs: Math.max(0, retryAt - now) };

/** A refusal of a request that can't be served even if it is sent again. */
export const rejected = (status: number, code: string): Refusal => ({
  status,
  code,
  retryAfterMs: null,
});
