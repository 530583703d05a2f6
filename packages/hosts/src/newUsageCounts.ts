import type { Heartbeat, UsageCounts } from './coordinationRecord.js';
import { MAX_KEPT_WINDOWS } from './newUsageMeter.js';

const addCounts = (sum: UsageCounts, counts: UsageCounts): UsageCounts =>
  Object.entries(counts).reduce(
    (total, [customer, count]) => ({ ...total, [customer]: (total[customer] ?? 0) + count }),
    sum,
  );

const evictOldWindows = <T>(windows: Map<number, T>): void => {
  const newest = Math.max(...windows.keys());
  [...windows.keys()]
    .filter((window) => window < newest - MAX_KEPT_WINDOWS)
    .forEach((window) => windows.delete(window));
};

/** Collects the usage counts of all hosts by window, and which windows are closed and reported. */
const newUsageCounts = () => {
  /** Counts by window, then by the incarnation of the host that counted them. */
  const countsByWindow = new Map<number, Map<string, UsageCounts>>();
  const closed = new Map<number, UsageCounts>();
  const reported = new Set<number>();

  const addWindow = (window: number, incarnation: string, counts: UsageCounts): void => {
    countsByWindow.set(window, new Map([[incarnation, counts]]));
    evictOldWindows(countsByWindow);
  };

  const applyHeartbeat = ({ incarnation, usage }: Heartbeat): void =>
    Object.entries(usage).forEach(([name, counts]) => {
      const window = Number(name);
      const known = countsByWindow.get(window);
      if (known) known.set(incarnation, counts);
      else addWindow(window, incarnation, counts);
    });

  return {
    applyHeartbeat,
    /** Only the first close of a window counts; a second one by another lease holder is ignored. */
    applyClose: (window: number, counts: UsageCounts): void => {
      if (!closed.has(window)) closed.set(window, counts);
      evictOldWindows(closed);
    },
    applyReported: (window: number): void => {
      reported.add(window);
    },
    sum: (window: number): UsageCounts =>
      [...(countsByWindow.get(window)?.values() ?? [])].reduce(addCounts, {}),
    isClosed: (window: number): boolean => closed.has(window),
    /** The newest window that is closed; null if none is known. */
    newestClosed: (): number | null => (closed.size === 0 ? null : Math.max(...closed.keys())),
    /** Oldest closed window that has not been reported yet. */
    oldestUnreported: (): { window: number; counts: UsageCounts } | null => {
      const [window] = [...closed.keys()]
        .filter((candidate) => !reported.has(candidate))
        .sort((left, right) => left - right);
      return window === undefined ? null : { window, counts: closed.get(window) ?? {} };
    },
  };
};

export type UsageCountsView = ReturnType<typeof newUsageCounts>;

export default newUsageCounts;
