import findPrompt from '@cyclamengate/adapter/findPrompt';
import newHttpUpstreamClient from '@cyclamengate/adapter/newHttpUpstreamClient';
import type Clock from '@cyclamengate/common/Clock';
import type { Homes } from '@cyclamengate/common/homes';
import type { EventLog } from '@cyclamengate/common/newEventLog';
import type { Metrics } from '@cyclamengate/common/newMetrics';
import type { OddValues } from '@cyclamengate/common/newOddValues';
import newAnswerGuard from '@cyclamengate/engines/newAnswerGuard';
import newColdGuard from '@cyclamengate/engines/newColdGuard';
import newColdLimits from '@cyclamengate/engines/newColdLimits';
import newCrashGuard from '@cyclamengate/engines/newCrashGuard';
import type { Trials } from '@cyclamengate/engines/newSuspectGate';
import newCrashHistory from '@cyclamengate/engines/newCrashHistory';
import newDirectory from '@cyclamengate/engines/newDirectory';
import newEvacuations from '@cyclamengate/engines/newEvacuations';
import newHealth from '@cyclamengate/engines/newHealth';
import soleTrials from '@cyclamengate/engines/soleTrials';
import type { Loads } from '@cyclamengate/engines/newLoads';
import newPaces from '@cyclamengate/engines/newPaces';
import { isSameIncarnation } from '@cyclamengate/engines/upstreamEntry';
import newCandidates from '@cyclamengate/gateway/newCandidates';
import newAdmittedRelay from '@cyclamengate/gateway/newAdmittedRelay';
import newPlaceReader from '@cyclamengate/gateway/newPlaceReader';
import newPlainAdmissions from '@cyclamengate/gateway/newPlainAdmissions';
import type { ServiceReport } from '@cyclamengate/gateway/serviceReport';
import newPlainRelay from '@cyclamengate/gateway/newPlainRelay';
import type { SettingsView } from '@cyclamengate/gateway/newSettingsView';
import newStreamRelay from '@cyclamengate/gateway/newStreamRelay';
import type { Demand, HostLoad } from '@cyclamengate/hosts/newMembers';
import newConnections from '@cyclamengate/upstreams/newConnections';
import describeServices from './describeServices.js';
import type { HostSettings } from './hostSettings.js';

export interface UpstreamAccessOptions {
  clock: Clock;
  log: EventLog;
  metrics: Metrics;
  oddValues: OddValues;
  settings: Pick<HostSettings, 'host' | 'failureDomain' | 'regions' | 'shares'>;
  settingsView: SettingsView;
  loads: Loads;
  /** All hosts that may send requests, in the same order on every host. */
  readHostLoads: () => HostLoad[];
  /** What each other host runs or has waiting. */
  readOtherDemand: () => readonly Demand[];
}

/** What this host knows of the upstreams, and how it sends requests to them. */
const newUpstreamAccess = (options: UpstreamAccessOptions) => {
  const { clock, log, metrics, oddValues, settings, settingsView, loads, readHostLoads } = options;
  const { host, failureDomain, regions, shares } = settings;
  const directory = newDirectory(clock, log);
  const evacuations = newEvacuations({ clock, log });
  const health = newHealth(clock, log);
  const paces = newPaces({
    clock,
    loads,
    isListed: (entry) => {
      const listed = directory.find(entry.id);
      return listed !== undefined && isSameIncarnation(listed, entry);
    },
  });
  const connections = newConnections();
  const crashHistory = newCrashHistory(clock);
  const coldLimits = newColdLimits({
    clock,
    log,
    metrics,
    host,
    readHosts: readHostLoads,
    findLimit: (service) => settingsView.read()?.services.get(service)?.coldLimit ?? null,
    evacuations,
  });
  let trials = soleTrials;
  const client = newCrashGuard({
    clock,
    log,
    metrics,
    client: newColdGuard(
      newAnswerGuard({
        log,
        metrics,
        client: newHttpUpstreamClient(clock, connections, (part, upstream) => {
          if (part === 'report') metrics.count('load_reports_invalid');
          if (part === 'pace') metrics.count('load_paces_invalid');
          oddValues.reject('answers', 'answer.unreadable', { upstream, part });
        }),
      }),
      coldLimits,
    ),
    onEnded: coldLimits.suspectRestart,
    directory,
    history: crashHistory,
    findPrompt,
    trials: {
      claim: (digest, crashes) => trials.claim(digest, crashes),
      cancel: (digest) => trials.cancel(digest),
    },
  });
  const upstreamState = { regions, directory, evacuations, coldLimits, health, loads };
  const candidates = newCandidates({
    ...upstreamState,
    paces,
    failureDomain,
    isConnected: (entry) => client.isConnected(entry),
  });
  const placeReader = newPlaceReader({
    ...upstreamState,
    clock,
    reservedPart: shares.reservedPart,
  });
  const admissions = newPlainAdmissions({
    clock,
    log,
    metrics,
    shares,
    reader: placeReader,
    readOtherDemand: options.readOtherDemand,
    readSettings: settingsView.read,
  });
  const relayParts = { clock, log, client, candidates, health, loads, paces };
  directory.onRemoved((entry) => {
    client.closeConnections(entry);
    health.remove(entry.id);
    paces.remove(entry);
    coldLimits.remove(entry);
    placeReader.remove(entry.id);
  });

  const countCold = (): number => directory.entries().filter(coldLimits.isCold).length;
  metrics.gauge('requests_suspected', crashHistory.size);
  metrics.gauge('domains_evacuated', () => evacuations.list().length);
  metrics.gauge('upstreams_cold', countCold);
  metrics.gauge('upstreams_slow', paces.countSlow);
  metrics.gauge('upstreams_fast', paces.countFast);

  const relay = newPlainRelay(relayParts);

  return {
    directory,
    evacuations,
    health,
    paces,
    connections,
    crashHistory,
    client,
    candidates,
    /** Agrees with other hosts on trials from now on. */
    shareTrials: (shared: Trials): void => {
      trials = shared;
    },
    admissions,
    relay,
    relayAdmitted: newAdmittedRelay(admissions, relay),
    relayStream: newStreamRelay(relayParts),
    /** Whether any upstream of a service in some regions takes requests. */
    hasUpstream: (service: string, homes: Homes): boolean =>
      candidates(service, undefined, homes).length > 0,
    describeServices: (): ServiceReport[] =>
      describeServices(
        [...(settingsView.read()?.services.keys() ?? [])],
        candidates,
        admissions.describe(),
      ),
  };
};

export type UpstreamAccess = ReturnType<typeof newUpstreamAccess>;

export default newUpstreamAccess;
