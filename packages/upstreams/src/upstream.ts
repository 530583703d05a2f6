import type { UpstreamStatus } from '@cyclamengate/platform/upstreamStatus';

/** One host's view of an upstream. */
export interface Upstream {
  status: UpstreamStatus;
  /** Active requests of all hosts in its last report, which lags. */
  reportedActive: number;
  slots: number;
  /** This host's requests that are currently running on it. */
  inFlight: number;
  /** This host's requests started since the last report, which does not include them. */
  startedSinceReport: number;
  failures: number;
  /** Monotonic time until which the circuit breaker is open and the upstream gets no new work. */
  breakerOpenUntil: number;
  /** Whether the platform's latest list contains it. */
  isListed: boolean;
  isLeaving: boolean;
  versions: Readonly<Record<string, number>>;
}

/** Estimates the number of running requests relative to the slots. */
export const estimateLoad = ({
  reportedActive,
  startedSinceReport,
  inFlight,
  slots,
}: Upstream): number =>
  Math.max(inFlight, reportedActive + startedSinceReport) / Math.max(1, slots);
