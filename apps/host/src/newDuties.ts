import type { Connections } from '@cyclamengate/upstreams/newConnections';
import newHttpUpstreamOrders from '@cyclamengate/adapter/newHttpUpstreamOrders';
import newHttpUsageReports from '@cyclamengate/adapter/newHttpUsageReports';
import newHttpWeightOrders from '@cyclamengate/adapter/newHttpWeightOrders';
import type Clock from '@cyclamengate/common/Clock';
import type { EventLog } from '@cyclamengate/common/newEventLog';
import loadWeights from '@cyclamengate/engines/loadWeights';
import computeMaxConcurrentLoads from '@cyclamengate/engines/computeMaxConcurrentLoads';
import findDueLoads from '@cyclamengate/engines/findDueLoads';
import type { NewestVersion } from '@cyclamengate/engines/findDueLoads';
import type { EngineAssigner } from '@cyclamengate/engines/newEngineAssigner';
import type { DueLoad } from '@cyclamengate/engines/loadWeights';
import type { Directory } from '@cyclamengate/engines/newDirectory';
import type { Evacuations } from '@cyclamengate/engines/newEvacuations';
import scaleUpstreams from '@cyclamengate/engines/scaleUpstreams';
import type { ScaledService } from '@cyclamengate/engines/scaleUpstreams';
import { getLoadedVersion } from '@cyclamengate/engines/upstreamEntry';
import type { UpstreamEntry } from '@cyclamengate/engines/upstreamEntry';
import type { EffectiveSettings } from '@cyclamengate/gateway/newSettingsView';
import reportWindows from '@cyclamengate/hosts/reportWindows';
import type { Coordination } from './newCoordination.js';

export interface DutiesOptions {
  clock: Clock;
  log: EventLog;
  host: string;
  failureDomain: string;
  /** Address of the platform's API for usage reports and scale orders. */
  address: string;
  connections: Connections;
  windowMs: number;
  coordination: Coordination;
  newLease: Coordination['newLease'];
  directory: Directory;
  evacuations: Pick<Evacuations, 'isEvacuated'>;
  readSettings: () => EffectiveSettings | null;
  newestVersion: (model: string) => NewestVersion;
  /** Number of versions by which an engine may lag and still serve a model's steps. */
  allowedLag: (model: string) => number;
  /** Gives each model its engines, the same on every host. */
  assignEngines: EngineAssigner;
  /** Number of unfinished items of open batches that a service runs. */
  openItems: (service: string) => number;
}

/** Tasks that run on one host at a time, under leases: usage reports, weight loads and scaling. */
const newDuties = (options: DutiesOptions) => {
  const { clock, log, host, failureDomain, address, connections, windowMs } = options;
  const { coordination, evacuations } = options;
  const { newLease, directory, readSettings, newestVersion, openItems, allowedLag } = options;
  const { assignEngines } = options;
  const usageLease = newLease('usage', null);
  const enginesLease = newLease(`engines/${failureDomain}`, failureDomain);

  /** Upstreams of a service that may get requests and orders. */
  const findUsable = (service: string): UpstreamEntry[] =>
    directory.all(service).filter((entry) => !evacuations.isEvacuated(entry.failureDomain));

  /** Weight loads that engines of this failure domain need, most outdated engines first. */
  const findDue = (): DueLoad[] => {
    const settings = readSettings()?.settings;
    if (!settings) return [];
    const versionsBehind = ({ entry, model, version }: DueLoad): number =>
      version - getLoadedVersion(entry, model);
    return settings.services
      .flatMap((service) => {
        const mustWaitForRuns = settings.routes.some(
          ({ isSingleVersion, splits }) =>
            isSingleVersion && splits.some((split) => split.service === service.name),
        );
        return findDueLoads(
          findUsable(service.name),
          service.models.map(newestVersion),
          clock.now(),
          allowedLag,
          assignEngines,
        ).map((due) => ({ ...due, mustWaitForRuns }));
      })
      .filter(({ entry }) => entry.failureDomain === failureDomain)
      .sort((left, right) => versionsBehind(right) - versionsBehind(left));
  };

  const maxConcurrentLoads = (): number => {
    const modelServices = (readSettings()?.settings.services ?? []).filter(
      ({ models }) => models.length > 0,
    );
    const ownEngines = modelServices
      .flatMap(({ name }) => directory.all(name))
      .filter((entry) => entry.failureDomain === failureDomain);
    return computeMaxConcurrentLoads(ownEngines.length);
  };

  const findScaledServices = (): ScaledService[] =>
    (readSettings()?.settings.services ?? []).flatMap(({ name, scaling }) =>
      scaling
        ? [
            {
              service: name,
              bounds: { minUpstreams: scaling.minUpstreams, maxUpstreams: scaling.maxUpstreams },
              bootMs: scaling.bootMs,
            },
          ]
        : [],
    );

  const run = async (signal: AbortSignal): Promise<void> => {
    await Promise.all([
      usageLease.run(signal),
      enginesLease.run(signal),
      reportWindows(
        {
          clock,
          log,
          host,
          windowMs,
          lease: usageLease,
          members: coordination.members,
          usage: coordination.usage,
          reports: newHttpUsageReports(address),
          write: coordination.write,
        },
        signal,
      ),
      loadWeights(
        {
          clock,
          log,
          host,
          orders: newHttpWeightOrders(log, connections),
          getLease: enginesLease.hold,
          findDue,
          findEngine: directory.find,
          maxConcurrentLoads,
        },
        signal,
      ),
      scaleUpstreams(
        {
          clock,
          log,
          host,
          failureDomain,
          orders: newHttpUpstreamOrders(address),
          getLease: enginesLease.hold,
          services: findScaledServices,
          entries: findUsable,
          openItems,
        },
        signal,
      ),
    ]);
  };

  return {
    run,
    releaseLeases: async (): Promise<void> => {
      await Promise.all([usageLease.resign(), enginesLease.resign()]);
    },
  };
};

export default newDuties;
