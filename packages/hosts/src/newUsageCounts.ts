import type { Heartbeat, UsageCounts } from './coordinationRecord.js';

/** Windows older than this many are forgotten: they were reported, or are too late to be. */
const KEPT_WINDOWS = 24;

const addCounts = (sum: UsageCounts, counts: UsageCounts): UsageCounts =>
  Object.entries(counts).reduce(
    (total, [customer, count]) => ({ ...total, [customer]: (total[customer] ?? 0) + count }),
    sum,
  );

const forgetOld = <T>(windows: Map<number, T>): void => {
  const newest = Math.max(...windows.keys());
  [...windows.keys()]
    .filter((window) => window < newest - KEPT_WINDOWS)
    .forEach((window) => windows.delete(window));
};

/** What all hosts counted, by window, and which windows are closed and reported. */
const newUsageCounts = () => {
  /** Counts by window, then by the run of the host that counted them. */
  const counted = new Map<number, Map<string, UsageCounts>>();
  const closed = new Map<number, UsageCounts>();
  const reported = new Set<number>();

  const applyHeartbeat = ({ incarnation, usage }: Heartbeat): void =>
    Object.entries(usage).forEach(([name, counts]) => {
      const window = Number(name);
      const byHost = counted.get(window) ?? new Map<string, UsageCounts>();
      byHost.set(incarnation, counts);
      counted.set(window, byHost);
      forgetOld(counted);
    });

  return {
    applyHeartbeat,
    /** The first close of a window counts; a second one, by another holder, changes nothing. */
    applyClose: (window: number, counts: UsageCounts): void => {
      if (!closed.has(window)) closed.set(window, counts);
      forgetOld(closed);
    },
    applyReported: (window: number): void => {
      reported.add(window);
    },
    sum: (window: number): UsageCounts =>
      [...(counted.get(window)?.values() ?? [])].reduce(addCounts, {}),
    isClosed: (window: number): boolean => closed.has(window),
    /** Oldest closed window that the platform has not taken yet. */
    unreported: (): { window: number; counts: UsageCounts } | null => {
      const [window] = [...closed.keys()]
        .filter((candidate) => !reported.has(candidate))
        .sort((left, right) => left - right);
      return window === undefined ? null : { window, counts: closed.get(window) ?? {} };
    },
  };
};

export type UsageCountsFold = ReturnType<typeof newUsageCounts>;

export default newUsageCounts;
