import type Clock from '@cyclamengate/common/Clock';
import type { UsageCounts } from './coordinationRecord.js';

/** Past windows in each heartbeat, so that counts survive a temporary network partition. */
const REPEATED_WINDOWS = 4;

/** Counts the requests that started on this host, by window of the wall clock. */
const newUsageMeter = (clock: Clock, windowMs: number) => {
  const windows = new Map<number, UsageCounts>();

  const windowAt = (wallTime: number): number => Math.floor(wallTime / windowMs);

  return {
    currentWindow: (): number => windowAt(clock.wallTime()),
    /** @param beganAt wall time at which the request was sent to its upstream */
    count: (customer: string, beganAt: number): void => {
      const window = windowAt(beganAt);
      const counts = windows.get(window) ?? {};
      counts[customer] = (counts[customer] ?? 0) + 1;
      windows.set(window, counts);
    },
    /** Counts of the newest windows; older ones are evicted. */
    recentWindows: (): Record<string, UsageCounts> => {
      const oldest = windowAt(clock.wallTime()) - REPEATED_WINDOWS;
      [...windows.keys()]
        .filter((window) => window < oldest)
        .forEach((window) => windows.delete(window));
      return Object.fromEntries(windows);
    },
  };
};

export type UsageMeter = ReturnType<typeof newUsageMeter>;

export default newUsageMeter;
