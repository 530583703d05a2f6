import type Clock from '@cyclamengate/common/Clock';
import describeError from '@cyclamengate/common/describeError';
import type { EventLog } from '@cyclamengate/common/newEventLog';
import withDeadline from '@cyclamengate/common/withDeadline';
import type { Departure } from './newDeparture.js';

/** The load balancer opens new connections for up to 2 s after the host stops being ready. */
const MIN_DRAIN_MS = 3_000;
const POLL_INTERVAL_MS = 50;

export interface DrainOptions {
  clock: Clock;
  log: EventLog;
  departure: Departure;
  openRequests: () => number;
  runningItems: () => number;
  /** Stops accepting work, hands over items, releases leases and announces that the host is leaving. */
  leave: () => Promise<void>;
  /** Closes the connections on which no request is open; callers open others, to other hosts. */
  closeIdle: () => void;
  close: () => void;
}

/**
 * Drains a host within the platform's shutdown time. It accepts new connections for the first seconds
 * and completes open requests; those of the first seconds that are still open at the end are dropped.
 */
const newDrain = (options: DrainOptions) => {
  const { clock, log, departure, openRequests, runningItems, leave, closeIdle, close } = options;

  const waitForRequests = async (): Promise<void> => {
    while (openRequests() > 0 && clock.now() < departure.endsAt()) {
      await clock.sleepUntil(clock.now() + POLL_INTERVAL_MS);
      closeIdle();
    }
  };

  /** The host may stop because what it leaves is broken; its open requests are finished all the same. */
  const tryLeave = async (): Promise<boolean> => {
    try {
      await leave();
      return true;
    } catch (error) {
      log.error('process.leave-failed', { ...describeError(error) });
      return false;
    }
  };

  return async (): Promise<void> => {
    const startedAt = clock.now();
    departure.begin();
    log.info('process.stopping', { open: openRequests(), items: runningItems() });
    // Peers behind a partition answer nothing, and are asked for longer than the shutdown may take.
    const left = await withDeadline(clock, tryLeave(), departure.endsAt());
    await clock.sleepUntil(startedAt + MIN_DRAIN_MS);
    // Each of them may bring one more request, at any time.
    closeIdle();
    await waitForRequests();
    const open = openRequests();
    departure.close();
    log.info('process.stopped', { open, hasLeft: left === true });
    close();
    await clock.sleepUntil(clock.now() + POLL_INTERVAL_MS);
  };
};

export default newDrain;
