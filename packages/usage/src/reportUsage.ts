import type Clock from '@cyclamengate/common/Clock';
import type { Log } from '@cyclamengate/common/newLogger';
import type { Follower } from '@cyclamengate/coordination/newFollower';
import { isSameHold } from '@cyclamengate/coordination/newLease';
import type { Lease } from '@cyclamengate/coordination/newLease';
import type { LogWriter } from '@cyclamengate/coordination/newLogWriter';
import { REPORT_TIMEOUT_MS } from '@cyclamengate/platform/newHttpUsageReports';
import type UsageReports from '@cyclamengate/platform/UsageReports';

const CHECK_EVERY_MS = 500;
const WRITE_TIMEOUT_MS = 5_000;
/** Hosts have this long after a window's end to get their usage into the log. */
export const CLOSE_GRACE_MS = 5_000;
/** Lease that must be left beyond the report's timeout. */
const LEASE_RESERVE_MS = 250;

export interface ReportOptions {
  clock: Clock;
  log: Log;
  follower: Follower;
  writer: LogWriter;
  lease: Lease;
  reports: UsageReports;
  windowMs: number;
}

const ascending = (windows: string[]): number[] =>
  windows.map(Number).sort((left, right) => left - right);

/**
 * Closes windows and reports them, one after the other, while this process holds the lease.
 *
 * A report's answer can be lost after the platform has taken it, and a process frozen in the middle
 * of a report may wake up beside its successor. Both can only send the figures that the log fixed,
 * and the lease must outlast the report's timeout, so a second sending is the same report again.
 */
const reportUsage = async (options: ReportOptions, signal: AbortSignal): Promise<void> => {
  const { clock, log, follower, writer, lease, reports, windowMs } = options;

  /** The newest window whose end and grace have passed. */
  const lastEnded = (): number =>
    (Math.floor((clock.wallTime() - CLOSE_GRACE_MS) / windowMs) - 1) * windowMs;

  /**
   * The oldest window with usage. Usage that came too late for its own window goes with the next one;
   * when the customer never calls again there would be none, so a window without usage carries it.
   */
  const findDue = (): number | undefined => {
    const { open, late } = follower.state().usage;
    const [oldest] = ascending(Object.keys(open));
    if (oldest !== undefined) return oldest;
    return Object.keys(late).length > 0 ? lastEnded() : undefined;
  };

  const closeDue = async (): Promise<void> => {
    const held = lease.holdFor(0);
    const oldest = findDue();
    if (!held || oldest === undefined || oldest <= follower.state().usage.closedThrough) return;
    if (oldest > lastEnded()) return;
    await writer.write(
      { type: 'usage-close', window: oldest, fence: held.fence },
      clock.now() + WRITE_TIMEOUT_MS,
    );
  };

  const findUnreported = (): number | undefined => {
    const { closed } = follower.state().usage;
    return ascending(Object.keys(closed)).find((window) => !closed[window]?.reported);
  };

  const reportNext = async (): Promise<boolean> => {
    const window = findUnreported();
    const closed = window === undefined ? undefined : follower.state().usage.closed[window];
    const held = lease.holdFor(REPORT_TIMEOUT_MS + LEASE_RESERVE_MS);
    if (window === undefined || !closed || !held) return false;
    const report = { window, fence: held.fence, figures: closed.figures };
    const sent = await reports.send(report, () => isSameHold(lease, held, LEASE_RESERVE_MS));
    log.info({ event: 'usage-report', window, outcome: sent.ok ? 'taken' : sent.val });
    if (!sent.ok) return false;
    await writer.write({ type: 'usage-reported', window }, clock.now() + WRITE_TIMEOUT_MS);
    return true;
  };

  while (!signal.aborted) {
    await closeDue();
    const isReported = await reportNext();
    if (!isReported) await clock.sleepUntil(clock.now() + CHECK_EVERY_MS, signal);
  }
};

export default reportUsage;
