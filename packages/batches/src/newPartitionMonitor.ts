import type Clock from '@cyclamengate/common/Clock';
import type { EventLog } from '@cyclamengate/common/newEventLog';
import type { StoreReachability } from './peerRouter.js';

const CHECK_INTERVAL_MS = 200;
/**
 * The view is refreshed within 0.9 s while the store answers; other hosts consider this host dead
 * after 1.6 s.
 */
const MAX_VIEW_AGE_MS = 1_200;
/**
 * Probes are repeated, since two hosts may be partitioned together while the connection to a third
 * hangs.
 */
const PROBE_INTERVAL_MS = 700;

export interface PartitionMonitorOptions {
  clock: Clock;
  log: EventLog;
  /**
   * The view of the batches holds everything that was written before this time on the monotonic
   * clock.
   */
  freshAt: () => number;
  /** Probes how well other hosts reach the store; @returns the best result of some hosts. */
  probePeers: () => Promise<StoreReachability>;
}

/** Actions of a host that is partitioned from the store. */
export interface PartitionActions {
  /** Number of items that this host has to run. */
  openItems: () => number;
  /**
   * Announces through other hosts that this host is leaving, and hands its batches over; @returns
   * whether the announcement was written.
   */
  leave: () => Promise<boolean>;
}

/**
 * Hands this host's batches over while this host alone is partitioned from the store.
 *
 * The store rejects single hosts for seconds, or a link fails. Such a host can list no result, and
 * reads neither new batches nor the ends of batches. The other hosts consider it dead and resume
 * its items from the parts that it has written, while its own runs occupy slots for nothing. Since
 * other hosts mostly still reach it, it hands its batches and their partial texts over to them and
 * stops. It also has one of them announce that it is leaving, so that new batches go to the next
 * host at once and not after the expiry of its heartbeat. Its own next heartbeat revokes the
 * announcement. While no host reaches the store it continues, since no other host is in a better
 * position.
 */
const newPartitionMonitor = ({ clock, log, freshAt, probePeers }: PartitionMonitorOptions) => {
  let nextProbeAt = -Infinity;
  let isAnnounced = false;
  /** Time of the last probe that found a peer able to read the store. */
  let peersReadAt = -Infinity;

  const isStale = (): boolean =>
    freshAt() !== -Infinity && clock.now() > freshAt() + MAX_VIEW_AGE_MS;

  const isPartitioned = (): boolean => peersReadAt > freshAt();

  const recordPeerAccess = (probedAt: number, reachability: StoreReachability): void => {
    const viewAgeMs = Math.round(clock.now() - freshAt());
    if (!isPartitioned()) log.warn('host.behind', { viewAgeMs, touch: reachability });
    peersReadAt = probedAt;
  };

  const leaveIfPartitioned = async ({ openItems, leave }: PartitionActions): Promise<void> => {
    const probedAt = clock.now();
    nextProbeAt = probedAt + PROBE_INTERVAL_MS;
    const reachability = await probePeers();
    if (reachability !== 'none') recordPeerAccess(probedAt, reachability);
    // A host that resumes reading later than others after a general outage is not partitioned.
    if (reachability !== 'steady') return;
    const details = { viewAgeMs: Math.round(clock.now() - freshAt()), items: openItems() };
    isAnnounced = (await leave()) || isAnnounced;
    log.warn('host.cut-off', { ...details, isAnnounced });
  };

  return {
    run: async (actions: PartitionActions, signal: AbortSignal): Promise<void> => {
      while (!signal.aborted) {
        const isDone = isAnnounced && actions.openItems() === 0;
        if (!isStale()) isAnnounced = false;
        else if (!isDone && clock.now() >= nextProbeAt) await leaveIfPartitioned(actions);
        await clock.sleepUntil(clock.now() + CHECK_INTERVAL_MS, signal);
      }
    },
    /** Whether another host has read the store since this host last did. */
    isPartitioned,
  };
};

export type PartitionMonitor = ReturnType<typeof newPartitionMonitor>;

export default newPartitionMonitor;
