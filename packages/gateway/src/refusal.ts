/** Why a request gets no upstream's answer. */
export interface Refusal {
  status: number;
  code: string;
  /** When to come back, in milliseconds from now; null where coming back does not help. */
  retryAfterMs: number | null;
}

/** Says that the request has not run and never will. */
export const notRun = (code: string, retryAfterMs: number): Refusal => ({
  status: 503,
  code,
  retryAfterMs,
});

/** Says nothing about whether the request has run. */
export const uncertain = (code: string, status: 502 | 504 = 502): Refusal => ({
  status,
  code,
  retryAfterMs: null,
});

/** The request itself can't be served, however often it is sent. */
export const rejected = (status: number, code: string): Refusal => ({
  status,
  code,
  retryAfterMs: null,
});
