import type { UpstreamStatus } from '@cyclamengate/platform/upstreamStatus';

/** An upstream as one host sees it. */
export interface Upstream {
  status: UpstreamStatus;
  /** Requests of all hosts that it reported last; lags behind. */
  reportedActive: number;
  slots: number;
  /** This host's requests that run on it now. */
  inFlight: number;
  /** This host's requests begun since the last report, which the report cannot contain. */
  begunSinceReport: number;
  failures: number;
  /** While open, the breaker keeps new work away; on the monotonic clock. */
  breakerOpenUntil: number;
  /** Whether the platform's newest list has it. */
  isListed: boolean;
  isLeaving: boolean;
  versions: Readonly<Record<string, number>>;
}

/** Requests that it is likely to be running, as a part of what it can run at once. */
export const estimateLoad = ({
  reportedActive,
  begunSinceReport,
  inFlight,
  slots,
}: Upstream): number => Math.max(inFlight, reportedActive + begunSinceReport) / Math.max(1, slots);
