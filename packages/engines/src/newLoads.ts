import type Clock from '@cyclamengate/common/Clock';

/** Older load reports are stale and ignored. */
const REPORT_TTL_MS = 1_000;
/** A report this young is newer than what other hosts' heartbeats say. */
const FRESH_REPORT_MS = 150;

/** Load as an upstream reports it along with its answers. */
export interface ReportedLoad {
  running: number;
  waiting: number;
  slots: number;
  /** Time that work takes there now, relative to its usual; null if the upstream does not say. */
  pace: number | null;
}

/** The newest load report of an upstream. */
export interface LoadReport {
  load: ReportedLoad;
  /** This host's requests there when the report came. */
  localAtReport: number;
  reportedAt: number;
  /** The report is stale after this time. */
  deadline: number;
}

/** Counts requests at each upstream: this host's exactly, those of other hosts by estimate. */
const newLoads = (clock: Clock) => {
  let readRemoteLoads = (): ReadonlyMap<string, number> => new Map();
  const localCounts = new Map<string, number>();
  const reports = new Map<string, LoadReport>();

  const countLocal = (id: string): number => localCounts.get(id) ?? 0;

  const ageOf = ({ reportedAt }: LoadReport): number => clock.now() - reportedAt;

  const estimate = (id: string): number => {
    const report = reports.get(id);
    const remote = readRemoteLoads().get(id) ?? 0;
    if (!report || report.deadline < clock.now()) return countLocal(id) + remote;
    const reportedRemote = report.load.running + report.load.waiting - report.localAtReport;
    return countLocal(id) + Math.max(remote, reportedRemote, 0);
  };

  return {
    begin: (id: string): void => {
      localCounts.set(id, countLocal(id) + 1);
    },
    end: (id: string): void => {
      const remaining = countLocal(id) - 1;
      if (remaining > 0) localCounts.set(id, remaining);
      else localCounts.delete(id);
    },
    report: (id: string, load: ReportedLoad): void => {
      const reportedAt = clock.now();
      const deadline = reportedAt + REPORT_TTL_MS;
      reports.set(id, { load, localAtReport: countLocal(id), reportedAt, deadline });
    },
    newestReport: (id: string): LoadReport | null => reports.get(id) ?? null,
    /** @param read returns the requests that other hosts run at each upstream */
    setRemoteLoads: (read: () => ReadonlyMap<string, number>): void => {
      readRemoteLoads = read;
    },
    countLocal,
    countAllLocal: (): Record<string, number> => Object.fromEntries(localCounts),
    /** Age of the upstream's newest load report; null if there is none or it is stale. */
    reportAgeMs: (id: string): number | null => {
      const report = reports.get(id);
      return !report || report.deadline < clock.now() ? null : ageOf(report);
    },
    /** Estimated number of requests at the upstream, from all hosts. */
    estimate,
    /**
     * The same, but a fresh report goes before heartbeats. Two hosts that each leave their places to
     * what the other ran half a second ago would leave most of them empty.
     */
    estimateNow: (id: string): number => {
      const report = reports.get(id);
      if (!report || ageOf(report) > FRESH_REPORT_MS) return estimate(id);
      const { load, localAtReport } = report;
      return countLocal(id) + Math.max(0, load.running + load.waiting - localAtReport);
    },
  };
};

export type Loads = ReturnType<typeof newLoads>;

export default newLoads;
