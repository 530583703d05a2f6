import type Clock from '@cyclamengate/common/Clock';
import type { Log } from '@cyclamengate/common/newLogger';
import type { Follower } from '@cyclamengate/coordination/newFollower';
import { isStillHeld } from '@cyclamengate/coordination/newLease';
import type { Lease } from '@cyclamengate/coordination/newLease';
import type { LogWriter } from '@cyclamengate/coordination/newLogWriter';
import { REPORT_TIMEOUT_MS } from '@cyclamengate/platform/newHttpUsageReports';
import type UsageReports from '@cyclamengate/platform/UsageReports';

const CHECK_INTERVAL_MS = 500;
const WRITE_TIMEOUT_MS = 5_000;
/** Time that hosts have after the end of a window to write their usage to the log. */
export const CLOSE_GRACE_MS = 5_000;
/** Lease time that must remain beyond the timeout of a report. */
const MIN_REMAINING_LEASE_MS = 250;

export interface ReportOptions {
  clock: Clock;
  log: Log;
  follower: Follower;
  writer: LogWriter;
  lease: Lease;
  reports: UsageReports;
  windowMs: number;
}

const sortAscending = (windows: string[]): number[] =>
  windows.map(Number).sort((left, right) => left - right);

/**
 * Closes windows and reports them, one after the other, while this process holds the lease.
 *
 * The answer to a report can be lost after the platform accepted the report, and a process that was
 * suspended during a report may resume after its successor took over. Both can only send the figures
 * that the log fixed, and the lease must outlast the report's timeout, so a repeated report is
 * identical to the first one.
 */
const reportUsage = async (options: ReportOptions, signal: AbortSignal): Promise<void> => {
  const { clock, log, follower, writer, lease, reports, windowMs } = options;

  /** Start of the newest window whose end and grace period have passed. */
  const lastClosableWindow = (): number =>
    (Math.floor((clock.wallTime() - CLOSE_GRACE_MS) / windowMs) - 1) * windowMs;

  /**
   * The oldest window with usage. Usage that arrived after its window was closed is billed with the
   * next window. Without further calls there would be no next window, so an empty one is closed to
   * bill it.
   */
  const findDueWindow = (): number | undefined => {
    const { open, late } = follower.state().usage;
    const [oldest] = sortAscending(Object.keys(open));
    if (oldest !== undefined) return oldest;
    return Object.keys(late).length > 0 ? lastClosableWindow() : undefined;
  };

  const closeDueWindow = async (): Promise<void> => {
    const held = lease.holdFor(0);
    const oldest = findDueWindow();
    if (!held || oldest === undefined || oldest <= follower.state().usage.closedThrough) return;
    if (oldest > lastClosableWindow()) return;
    await writer.write(
      { type: 'usage-close', window: oldest, fence: held.fence },
      clock.now() + WRITE_TIMEOUT_MS,
    );
  };

  const findUnreportedWindow = (): number | undefined => {
    const { closed } = follower.state().usage;
    return sortAscending(Object.keys(closed)).find((window) => !closed[window]?.reported);
  };

  const reportNextWindow = async (): Promise<boolean> => {
    const window = findUnreportedWindow();
    const closed = window === undefined ? undefined : follower.state().usage.closed[window];
    const held = lease.holdFor(REPORT_TIMEOUT_MS + MIN_REMAINING_LEASE_MS);
    if (window === undefined || !closed || !held) return false;
    const report = { window, fence: held.fence, figures: closed.figures };
    const sent = await reports.send(report, () => isStillHeld(lease, held, MIN_REMAINING_LEASE_MS));
    log.info({ event: 'usage-report', window, outcome: sent.ok ? 'taken' : sent.val });
    if (!sent.ok) return false;
    await writer.write({ type: 'usage-reported', window }, clock.now() + WRITE_TIMEOUT_MS);
    return true;
  };

  while (!signal.aborted) {
    await closeDueWindow();
    const isReported = await reportNextWindow();
    if (!isReported) await clock.sleepUntil(clock.now() + CHECK_INTERVAL_MS, signal);
  }
};

export default reportUsage;
