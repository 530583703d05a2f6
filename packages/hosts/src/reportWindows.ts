import type Clock from '@cyclamengate/common/Clock';
import type { EventLog } from '@cyclamengate/common/newEventLog';
import type { WriteOutcome } from '@cyclamengate/store/newStoreWriter';
import type { CoordinationRecord } from './coordinationRecord.js';
import type { LeaseKeeper } from './newLeaseKeeper.js';
import type { Members } from './newMembers.js';
import type { UsageCountsView } from './newUsageCounts.js';
import { MAX_KEPT_WINDOWS } from './newUsageMeter.js';
import type UsageReports from './UsageReports.js';

const CHECK_INTERVAL_MS = 400;
/**
 * How long a window waits for missing hosts after its end, or after the end of an outage of the store:
 * half of the time allowed to report.
 */
const MAX_GRACE_MS = 5_500;
/** How many windows before the newest are closed if none is known to be closed. */
const INITIAL_WINDOWS_BEHIND = 2;
const SEND_TIMEOUT_MS = 800;
const WRITE_TIMEOUT_MS = 2_000;

export interface ReportWindowsOptions {
  clock: Clock;
  log: EventLog;
  host: string;
  windowMs: number;
  lease: LeaseKeeper;
  members: Members;
  usage: UsageCountsView;
  reports: UsageReports;
  write: (record: CoordinationRecord, deadline: number) => Promise<WriteOutcome>;
}

/**
 * Closes and reports usage windows while this host holds the lease.
 *
 * The response to a report can be lost and the lease holder can change before the report is
 * repeated, and the repeated report must have the same figures. So the figures are fixed in the log
 * before they are sent, and every holder reports the figures in the log.
 */
const reportWindows = async (options: ReportWindowsOptions, signal: AbortSignal): Promise<void> => {
  const { clock, log, host, windowMs, lease, members, usage, reports, write } = options;

  const windowEnd = (window: number): number => (window + 1) * windowMs;

  const isAfterOutage = (): boolean => clock.now() <= members.lastOutageEndedAt() + MAX_GRACE_MS;

  /**
   * Whether the counts of the window are final on all hosts that have not expired. After an outage the
   * calls of some hosts hang for seconds more, so that these expire and are waited for all the same.
   */
  const isComplete = (window: number): boolean => {
    const heartbeats = isAfterOutage() ? members.recentHeartbeats() : members.unexpiredHeartbeats();
    return heartbeats.every(({ countedThrough }) => countedThrough >= window);
  };

  /** Windows that have ended and are not closed, oldest first. */
  const findOpenWindows = (): number[] => {
    const newest = Math.floor(clock.wallTime() / windowMs) - 1;
    const newestClosed = usage.newestClosed() ?? newest;
    // An outage of the store leaves windows behind that callers have used all the same.
    const oldest = Math.max(
      newest - MAX_KEPT_WINDOWS + 1,
      Math.min(newest - INITIAL_WINDOWS_BEHIND, newestClosed + 1),
    );
    return Array.from({ length: newest - oldest + 1 }, (_, index) => oldest + index).filter(
      (window) => !usage.isClosed(window),
    );
  };

  const isGraceOver = (window: number): boolean =>
    clock.wallTime() > windowEnd(window) + MAX_GRACE_MS && !isAfterOutage();

  const findDueWindow = (): number | undefined =>
    findOpenWindows().find((window) => isComplete(window) || isGraceOver(window));

  const closeDueWindow = async (): Promise<void> => {
    if (!lease.hold(0)) return;
    const window = findDueWindow();
    if (window === undefined) return;
    const counts = usage.sum(window);
    const record = { type: 'usage-close' as const, window, counts };
    const outcome = await write(record, clock.now() + WRITE_TIMEOUT_MS);
    log.info('usage.closed', { window, counts, outcome, isComplete: isComplete(window) });
  };

  const reportNextWindow = async (): Promise<void> => {
    const hold = lease.hold(SEND_TIMEOUT_MS);
    const unreported = hold && usage.oldestUnreported();
    if (!hold || !unreported) return;
    const report = { ...unreported, holder: host, fencingToken: hold.token };
    const outcome = await reports.send(report, AbortSignal.timeout(SEND_TIMEOUT_MS));
    log.info('usage.reported', { window: unreported.window, outcome, fencingToken: hold.token });
    if (outcome === 'unknown') return;
    // This host may read its own record later than it checks again.
    usage.applyReported(unreported.window);
    await write(
      { type: 'usage-reported', window: unreported.window },
      clock.now() + WRITE_TIMEOUT_MS,
    );
  };

  while (!signal.aborted) {
    await closeDueWindow();
    await reportNextWindow();
    await clock.sleepUntil(clock.now() + CHECK_INTERVAL_MS, signal);
  }
};

export default reportWindows;
