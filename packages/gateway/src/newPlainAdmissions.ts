import type Clock from '@cyclamengate/common/Clock';
import type { EventLog } from '@cyclamengate/common/newEventLog';
import type { Metrics } from '@cyclamengate/common/newMetrics';
import type { Result } from '@cyclamengate/common/outcome';
import newLineLimit from './newLineLimit.js';
import type { PlaceReader } from './newPlaceReader.js';
import newServiceAdmission from './newServiceAdmission.js';
import type { ServiceAdmission, Work } from './newServiceAdmission.js';
import type { DemandElsewhere, ShareSettings } from './newServicePlaces.js';
import type { EffectiveSettings } from './newSettingsView.js';
import type { Refusal } from './refusal.js';
import { BACKGROUND } from './workClasses.js';

/** While something waits; places become free by what other hosts end, too. */
const REFRESH_INTERVAL_MS = 10;
const LINES_PER_SECOND = 20;
const DEFAULT_SHARE = 1;

export interface PlainAdmissionsOptions {
  clock: Clock;
  log: EventLog;
  metrics: Metrics;
  shares: ShareSettings;
  reader: PlaceReader;
  /** What each other host runs or has waiting, by the names of `demand`. */
  readOtherDemand: () => readonly Readonly<Record<string, number>>[];
  readSettings: () => EffectiveSettings | null;
  random?: () => number;
}

/** The part of a service's demand that is background work. */
const nameBackground = (service: string): string => `${service} ${BACKGROUND}`;

/** The admissions of all plain services on this host. */
const newPlainAdmissions = (options: PlainAdmissionsOptions) => {
  const { clock, log, metrics, shares, reader, readOtherDemand, readSettings, random } = options;
  const admissions = new Map<string, ServiceAdmission>();
  const writeLine = newLineLimit(clock, log, LINES_PER_SECOND);
  let isRefreshing = false;

  const readDemandElsewhere = (service: string): DemandElsewhere => {
    const others = readOtherDemand();
    const background = others.map((demand) => demand[nameBackground(service)] ?? 0);
    const callers = others.map((demand, index) =>
      Math.max(0, (demand[service] ?? 0) - (background[index] ?? 0)),
    );
    return { callers, background };
  };

  const getShare = (customer: string): number =>
    readSettings()?.customersByName.get(customer)?.share ?? DEFAULT_SHARE;

  const forService = (service: string): ServiceAdmission => {
    const existing = admissions.get(service);
    if (existing) return existing;
    const created = newServiceAdmission({
      clock,
      metrics,
      writeLine,
      service,
      shares,
      reader,
      readDemandElsewhere,
      getShare,
      random,
    });
    admissions.set(service, created);
    return created;
  };

  const hasWaiting = (): boolean =>
    [...admissions.values()].some(({ countWaiting }) => countWaiting() > 0);

  const refreshWhileWaiting = async (): Promise<void> => {
    if (isRefreshing) return;
    isRefreshing = true;
    try {
      while (hasWaiting()) {
        await clock.sleepUntil(clock.now() + REFRESH_INTERVAL_MS);
        admissions.forEach(({ refresh }) => refresh());
      }
    } finally {
      // Otherwise what waits would never be looked at again after an error.
      isRefreshing = false;
    }
  };

  return {
    run: <T>(
      work: Work,
      start: (crowded: ReadonlySet<string>) => Promise<T>,
      signal: AbortSignal,
    ): Promise<Result<T, Refusal>> => {
      const admission = forService(work.service);
      const outcome = admission.run(work, start, signal);
      if (admission.countWaiting() > 0) void refreshWhileWaiting();
      return outcome;
    },
    computeReturnMs: (work: Work): number => forService(work.service).computeReturnMs(work),
    /** Requests that run or wait on this host, by service; background work also by itself. */
    demand: (): Record<string, number> =>
      Object.fromEntries(
        [...admissions].flatMap(([service, { demand, demandOfBackground }]) => [
          ...(demand() > 0 ? [[service, demand()]] : []),
          ...(demandOfBackground() > 0 ? [[nameBackground(service), demandOfBackground()]] : []),
        ]),
      ) as Record<string, number>,
    /** Who waits, who holds what, and the expected waits, by service. */
    describe: () => [...admissions.values()].map((admission) => admission.describe()),
  };
};

export type PlainAdmissions = ReturnType<typeof newPlainAdmissions>;

export default newPlainAdmissions;
