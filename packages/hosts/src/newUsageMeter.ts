import type Clock from '@cyclamengate/common/Clock';
import type { EventLog } from '@cyclamengate/common/newEventLog';
import type { Metrics } from '@cyclamengate/common/newMetrics';
import type { UsageCounts } from './coordinationRecord.js';

/** Past windows in each heartbeat, so that counts survive a temporary network partition. */
const REPEATED_WINDOWS = 4;
/** Past windows that are kept for a report while none of a later time is closed, as in an outage. */
export const MAX_KEPT_WINDOWS = 24;

export interface UsageMeterOptions {
  clock: Clock;
  log: EventLog;
  metrics: Metrics;
  windowMs: number;
}

/** Counts the requests that started on this host, by window of the wall clock. */
const newUsageMeter = ({ clock, log, metrics, windowMs }: UsageMeterOptions) => {
  const windows = new Map<number, UsageCounts>();

  const windowAt = (wallTime: number): number => Math.floor(wallTime / windowMs);

  const drop = (window: number): void => {
    log.error('usage.dropped', { window, counts: windows.get(window) });
    metrics.count('usage_windows_dropped');
  };

  return {
    currentWindow: (): number => windowAt(clock.wallTime()),
    /** @param beganAt wall time at which the request was sent to its upstream */
    count: (customer: string, beganAt: number): void => {
      const window = windowAt(beganAt);
      const counts = windows.get(window) ?? {};
      // A customer may have the name of something that every object inherits.
      const known = Object.hasOwn(counts, customer) ? (counts[customer] ?? 0) : 0;
      counts[customer] = known + 1;
      windows.set(window, counts);
    },
    /**
     * Counts of the newest windows, and of older ones that are not closed yet; others are evicted.
     * @param isClosed whether the counts of a window are fixed
     */
    unreportedWindows: (isClosed: (window: number) => boolean): Record<string, UsageCounts> => {
      const current = windowAt(clock.wallTime());
      const isNeeded = (window: number): boolean =>
        window >= current - REPEATED_WINDOWS ||
        (window >= current - MAX_KEPT_WINDOWS && !isClosed(window));
      [...windows.keys()]
        .filter((window) => !isNeeded(window))
        .forEach((window) => {
          if (!isClosed(window)) drop(window);
          windows.delete(window);
        });
      return Object.fromEntries(windows);
    },
  };
};

export type UsageMeter = ReturnType<typeof newUsageMeter>;

export default newUsageMeter;
