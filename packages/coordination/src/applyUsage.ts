import { ACCEPTED, rejected } from '@cyclamengate/settings/decision';
import type { Decision } from '@cyclamengate/settings/decision';
import addUsage from './addUsage.js';
import { REPORTS_LEASE } from './leaseNames.js';
import type { LeaseStates } from './leaseState.js';
import type { UsageClose, UsageDelta, UsageReported } from './usageRecords.js';
import type { UsageState } from './usageState.js';

const MAX_REPORTED_WINDOWS = 64;
/** The sequence number of a host is evicted after the host has written nothing for this long. */
const HOST_RETENTION_MS = 86_400_000;

const evictHosts = (usage: UsageState, time: number): void =>
  Object.entries(usage.hosts).forEach(([host, { at }]) => {
    if (at < time - HOST_RETENTION_MS) delete usage.hosts[host];
  });

/**
 * Counts a host's sealed delta once. Both the host and the peer that stores a copy may write it,
 * and retry after a lost answer; the sequence number distinguishes a duplicate from new usage.
 */
export const applyUsageDelta = (usage: UsageState, time: number, delta: UsageDelta): Decision => {
  const lastSequence = usage.hosts[delta.host]?.sequence ?? -1;
  if (delta.sequence <= lastSequence)
    return rejected(`sequence ${delta.sequence} is counted already`);
  usage.hosts[delta.host] = { sequence: delta.sequence, at: time };
  Object.entries(delta.windows).forEach(([window, figures]) => {
    if (Number(window) <= usage.closedThrough) {
      addUsage(usage.late, figures);
      return;
    }
    usage.open[window] ??= {};
    addUsage(usage.open[window], figures);
  });
  return ACCEPTED;
};

const findCloseRefusal = (
  usage: UsageState,
  leases: LeaseStates,
  close: UsageClose,
): string | null => {
  const lease = leases[REPORTS_LEASE];
  if (!lease?.holder || lease.fence !== close.fence) return 'written under a lease that has ended';
  if (close.window <= usage.closedThrough) return 'the window is closed already';
  const hasEarlierOpen = Object.keys(usage.open).some((window) => Number(window) < close.window);
  return hasEarlierOpen ? 'an earlier window is still open' : null;
};

const evictReported = (usage: UsageState): void => {
  const reported = Object.keys(usage.closed)
    .filter((window) => usage.closed[window]?.reported)
    .sort((left, right) => Number(left) - Number(right));
  reported
    .slice(0, Math.max(0, reported.length - MAX_REPORTED_WINDOWS))
    .forEach((window) => delete usage.closed[window]);
};

/**
 * Fixes a window's figures at this offset. They are computed here and not by the writer, so a
 * second reporter, or the same one after a lost answer, reports the same figures.
 */
export const applyUsageClose = (
  usage: UsageState,
  leases: LeaseStates,
  time: number,
  close: UsageClose,
): Decision => {
  const refusal = findCloseRefusal(usage, leases, close);
  if (refusal) return rejected(refusal);
  const figures = usage.open[close.window] ?? {};
  addUsage(figures, usage.late);
  delete usage.open[close.window];
  usage.late = {};
  usage.closed[close.window] = { fence: close.fence, figures, reported: false };
  usage.closedThrough = close.window;
  evictReported(usage);
  evictHosts(usage, time);
  return ACCEPTED;
};

/** Records that the platform has accepted a window's report. */
export const applyUsageReported = (usage: UsageState, reported: UsageReported): Decision => {
  const closed = usage.closed[reported.window];
  if (!closed) return rejected('the window is not closed');
  closed.reported = true;
  return ACCEPTED;
};
