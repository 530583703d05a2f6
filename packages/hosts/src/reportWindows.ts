import type Clock from '@cyclamengate/common/Clock';
import type { EventLog } from '@cyclamengate/common/newEventLog';
import type { WriteOutcome } from '@cyclamengate/store/newStoreWriter';
import type { CoordinationRecord } from './coordinationRecord.js';
import type { LeaseKeeper } from './newLeaseKeeper.js';
import type { Members } from './newMembers.js';
import type { UsageCountsFold } from './newUsageCounts.js';
import type UsageReports from './UsageReports.js';

const CHECK_EVERY_MS = 400;
/** Hosts that do not answer are waited for so long after a window's end: half of what is allowed. */
const LONGEST_GRACE_MS = 5_500;
/** Windows before this one are not looked for; a fresh holder reports what may still be in time. */
const OLDEST_WINDOWS = 2;
const SEND_TIMEOUT_MS = 800;
const WRITE_TIMEOUT_MS = 2_000;

export interface ReportWindowsOptions {
  clock: Clock;
  log: EventLog;
  host: string;
  windowMs: number;
  lease: LeaseKeeper;
  members: Members;
  usage: UsageCountsFold;
  reports: UsageReports;
  write: (record: CoordinationRecord, deadline: number) => Promise<WriteOutcome>;
}

/**
 * Closes and reports windows of usage while this host holds the lease.
 *
 * A report's answer can be lost, and the holder can change in between: the figures sent the second
 * time must be those of the first. So they are fixed in the log before they are sent, and whoever
 * reports the window sends what stands there.
 */
const reportWindows = async (options: ReportWindowsOptions, signal: AbortSignal): Promise<void> => {
  const { clock, log, host, windowMs, lease, members, usage, reports, write } = options;

  const endOf = (window: number): number => (window + 1) * windowMs;

  /** All hosts that are there have said that their counts of the window are final. */
  const isComplete = (window: number): boolean =>
    members.heard().every(({ countedThrough }) => countedThrough >= window);

  const findDue = (): number | undefined => {
    const newest = Math.floor(clock.wallTime() / windowMs) - 1;
    const candidates = Array.from({ length: OLDEST_WINDOWS + 1 }, (_, index) => newest - index);
    return candidates
      .reverse()
      .filter((window) => !usage.isClosed(window))
      .find((window) => isComplete(window) || clock.wallTime() > endOf(window) + LONGEST_GRACE_MS);
  };

  const closeDue = async (): Promise<void> => {
    const window = findDue();
    if (window === undefined || !lease.hold(0)) return;
    const counts = usage.sum(window);
    const record = { type: 'usage-close' as const, window, counts };
    const outcome = await write(record, clock.now() + WRITE_TIMEOUT_MS);
    log.info('usage.closed', { window, counts, outcome, isComplete: isComplete(window) });
  };

  const reportNext = async (): Promise<void> => {
    const due = usage.unreported();
    const hold = lease.hold(SEND_TIMEOUT_MS);
    if (!due || !hold) return;
    const report = { ...due, holder: host, fencingToken: hold.token };
    const outcome = await reports.send(report, AbortSignal.timeout(SEND_TIMEOUT_MS));
    log.info('usage.reported', { window: due.window, outcome, fencingToken: hold.token });
    if (outcome === 'unknown') return;
    await write({ type: 'usage-reported', window: due.window }, clock.now() + WRITE_TIMEOUT_MS);
  };

  while (!signal.aborted) {
    await closeDue();
    await reportNext();
    await clock.sleepUntil(clock.now() + CHECK_EVERY_MS, signal);
  }
};

export default reportWindows;
