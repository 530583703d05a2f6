import type { Heartbeat, UsageCounts } from './coordinationRecord.js';
import { MAX_KEPT_WINDOWS } from './newUsageMeter.js';

/** The clocks of two hosts differ by less than this number of windows. */
const MAX_LEAD_WINDOWS = 2;
/** More than the incarnations of all hosts that run during one window. */
const MAX_INCARNATIONS = 2_048;

const sumCounts = (all: Iterable<UsageCounts>): UsageCounts => {
  const sums = new Map<string, number>();
  for (const counts of all)
    Object.entries(counts).forEach(([customer, count]) =>
      sums.set(customer, (sums.get(customer) ?? 0) + count),
    );
  return Object.fromEntries(sums);
};

/**
 * Collects the usage counts of all hosts by window, and which windows are closed and reported. Windows
 * are kept for a time by this host's clock, whatever others a record names.
 * @param currentWindow the window of now, by the wall clock
 */
const newUsageCounts = (currentWindow: () => number) => {
  /** Counts by window, then by the incarnation of the host that counted them. */
  const countsByWindow = new Map<number, Map<string, UsageCounts>>();
  const closed = new Map<number, UsageCounts>();
  const reported = new Map<number, true>();

  const isAhead = (window: number): boolean => window > currentWindow() + MAX_LEAD_WINDOWS;

  const isPast = (window: number): boolean => window < currentWindow() - MAX_KEPT_WINDOWS;

  const isEnded = (window: number): boolean => window < currentWindow();

  const isKept = (window: number): boolean => !isAhead(window) && !isPast(window);

  const evictPast = (windows: Map<number, unknown>): void =>
    [...windows.keys()].filter(isPast).forEach((window) => windows.delete(window));

  const addWindow = (window: number): Map<string, UsageCounts> => {
    const counts = new Map<string, UsageCounts>();
    countsByWindow.set(window, counts);
    evictPast(countsByWindow);
    return counts;
  };

  const applyCounts = (window: number, incarnation: string, counts: UsageCounts): void => {
    if (!isKept(window)) return;
    const known = countsByWindow.get(window) ?? addWindow(window);
    if (known.size < MAX_INCARNATIONS || known.has(incarnation)) known.set(incarnation, counts);
  };

  return {
    /** Whether no host can have begun to count a window; what names it is passed over. */
    isAhead,
    applyHeartbeat: ({ incarnation, usage }: Pick<Heartbeat, 'incarnation' | 'usage'>): void =>
      Object.entries(usage).forEach(([name, counts]) =>
        applyCounts(Number(name), incarnation, counts),
      ),
    /** Only the first close of a window counts; a second one by another lease holder is ignored. */
    applyClose: (window: number, counts: UsageCounts): void => {
      if (!isKept(window)) return;
      if (!closed.has(window)) closed.set(window, counts);
      evictPast(closed);
    },
    applyReported: (window: number): void => {
      if (!isKept(window)) return;
      reported.set(window, true);
      evictPast(reported);
    },
    sum: (window: number): UsageCounts => sumCounts(countsByWindow.get(window)?.values() ?? []),
    isClosed: (window: number): boolean => closed.has(window),
    /** The newest window that has ended and is closed; null if none is known. */
    newestClosed: (): number | null => {
      const ended = [...closed.keys()].filter(isEnded);
      return ended.length === 0 ? null : Math.max(...ended);
    },
    /** Oldest closed window that has ended and has not been reported yet. */
    oldestUnreported: (): { window: number; counts: UsageCounts } | null => {
      const [window] = [...closed.keys()]
        .filter((candidate) => isEnded(candidate) && !reported.has(candidate))
        .sort((left, right) => left - right);
      return window === undefined ? null : { window, counts: closed.get(window) ?? {} };
    },
  };
};

export type UsageCountsView = ReturnType<typeof newUsageCounts>;

export default newUsageCounts;
