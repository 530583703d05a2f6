import type Clock from '@cyclamengate/common/Clock';

/** The connections of an upstream that ends are closed within this time. */
const BREAK_WINDOW_MS = 1_000;

interface RunGroup {
  running: number;
  /** When the first of the runs broke off, on the monotonic clock. */
  brokenAt: number;
  runsAtBreak: number;
}

/** Counts this host's runs on each upstream, and how many an upstream broke off together. */
const newRunGroups = (clock: Clock) => {
  const groups = new Map<string, RunGroup>();

  return {
    begin: (upstream: string): void => {
      const group = groups.get(upstream) ?? { running: 0, brokenAt: -Infinity, runsAtBreak: 0 };
      groups.set(upstream, { ...group, running: group.running + 1 });
    },
    end: (upstream: string): void => {
      const group = groups.get(upstream);
      if (!group) return;
      if (group.running <= 1) groups.delete(upstream);
      else groups.set(upstream, { ...group, running: group.running - 1 });
    },
    remove: (upstream: string): void => {
      groups.delete(upstream);
    },
    /** @returns the number of runs that the upstream broke off together with this one */
    countBroken: (upstream: string): number => {
      const group = groups.get(upstream);
      if (!group) return 1;
      if (clock.now() >= group.brokenAt + BREAK_WINDOW_MS) {
        group.brokenAt = clock.now();
        group.runsAtBreak = group.running;
      }
      return group.runsAtBreak;
    },
  };
};

export default newRunGroups;
