/** What is known about a request that got no complete answer. */
export type RequestOutcome = 'not-run' | 'unknown' | 'partial';

export type RefusalCode =
  | 'no-key'
  | 'two-keys'
  | 'unknown-key'
  | 'key-withdrawn'
  | 'settings-too-old'
  | 'bad-request'
  | 'too-large'
  | 'too-slow'
  | 'unknown-service'
  | 'idempotency-key-missing'
  | 'idempotency-key-used'
  | 'claim-not-possible'
  | 'queue-full'
  | 'deadline-not-reachable'
  | 'deadline-passed'
  | 'no-upstream'
  | 'retries-used-up'
  | 'deadly-request'
  | 'upstream-failed'
  | 'caller-gone'
  | 'leaving';

/** The final reply to a request that got no complete answer, sent without delay. */
export interface Refusal {
  code: RefusalCode;
  outcome: RequestOutcome;
  message: string;
  /** When the caller may retry, on the monotonic clock; null if the time makes no difference. */
  retryAt: number | null;
}

const STATUS_BY_CODE: Readonly<Record<RefusalCode, number>> = {
  'no-key': 401,
  'two-keys': 400,
  'unknown-key': 401,
  'key-withdrawn': 401,
  'settings-too-old': 503,
  'bad-request': 400,
  'too-large': 413,
  'too-slow': 408,
  'unknown-service': 404,
  'idempotency-key-missing': 400,
  'idempotency-key-used': 409,
  'claim-not-possible': 503,
  'queue-full': 429,
  'deadline-not-reachable': 503,
  'deadline-passed': 503,
  'no-upstream': 503,
  'retries-used-up': 503,
  'deadly-request': 422,
  'upstream-failed': 502,
  'caller-gone': 499,
  leaving: 503,
};

/** The HTTP status of a refusal. */
export const getHttpStatus = ({ code }: Refusal): number => STATUS_BY_CODE[code];

/** Creates a refusal of a request that certainly has not run. */
export const notRun = (
  code: RefusalCode,
  message: string,
  retryAt: number | null = null,
): Refusal => ({ code, outcome: 'not-run', message, retryAt });
