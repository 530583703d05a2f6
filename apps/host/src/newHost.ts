import newHttpStore from '@cyclamengate/adapter/newHttpStore';
import newSseReader from '@cyclamengate/adapter/newSseReader';
import mayStartWork from '@cyclamengate/batches/mayStartWork';
import newBatchWriter from '@cyclamengate/batches/newBatchWriter';
import newDemands from '@cyclamengate/batches/newDemands';
import type { BatchOwner } from '@cyclamengate/batches/batchRecord';
import newBatchRunner from '@cyclamengate/batches/newBatchRunner';
import newPartitionMonitor from '@cyclamengate/batches/newPartitionMonitor';
import newItemScorer from '@cyclamengate/batches/newItemScorer';
import newPeers from '@cyclamengate/batches/newPeers';
import newPeerServer from '@cyclamengate/batches/newPeerServer';
import { isInHomes } from '@cyclamengate/common/homes';
import type { Homes } from '@cyclamengate/common/homes';
import newEventLog from '@cyclamengate/common/newEventLog';
import newId from '@cyclamengate/common/newId';
import newGarbageCollector from '@cyclamengate/common/newGarbageCollector';
import newMemoryBudget from '@cyclamengate/common/newMemoryBudget';
import newMetrics from '@cyclamengate/common/newMetrics';
import newOddValues from '@cyclamengate/common/newOddValues';
import newSystemClock from '@cyclamengate/common/newSystemClock';
import newTaskGroup from '@cyclamengate/common/newTaskGroup';
import type { UncaughtErrors } from '@cyclamengate/common/newUncaughtErrors';
import type { RunningProgram } from '@cyclamengate/common/startProgram';
import watchEventLoop from '@cyclamengate/common/watchEventLoop';
import newAllowedLags from '@cyclamengate/engines/newAllowedLags';
import newEngineAssigner from '@cyclamengate/engines/newEngineAssigner';
import newLoads from '@cyclamengate/engines/newLoads';
import findHomes from '@cyclamengate/gateway/findHomes';
import { pickService } from '@cyclamengate/gateway/findRoute';
import type { EffectiveSettings } from '@cyclamengate/gateway/newSettingsView';
import newSettingsView from '@cyclamengate/gateway/newSettingsView';
import rankHosts from '@cyclamengate/hosts/rankHosts';
import newUsageMeter from '@cyclamengate/hosts/newUsageMeter';
import computeMemoryLimits from './computeMemoryLimits.js';
import followPlatform from './followPlatform.js';
import type { HostSettings } from './hostSettings.js';
import newBatchHandlers from './newBatchHandlers.js';
import newBatchStore from './newBatchStore.js';
import newCallerHandler from './newCallerHandler.js';
import newCoordination from './newCoordination.js';
import newCrashSharing from './newCrashSharing.js';
import newDeparture from './newDeparture.js';
import newDrain from './newDrain.js';
import newDuties from './newDuties.js';
import newPeerService from './newPeerService.js';
import newServers from './newServers.js';
import newUpstreamAccess from './newUpstreamAccess.js';

const MS_PER_SECOND = 1_000;

const serviceOfRoute = (effective: EffectiveSettings | null, name: string): string | null => {
  const route = effective?.routesByName.get(name);
  return route ? pickService(route, 0) : null;
};

/** One host: serves callers, runs batches, and runs the tasks whose leases it holds. */
const newHost = (settings: HostSettings, errors: UncaughtErrors) => {
  const { host, failureDomain, regions, terms, processor } = settings;
  const cores = processor.cores * processor.share;
  const incarnation = newId(host);
  const clock = newSystemClock();
  const log = newEventLog(host);
  const metrics = newMetrics();
  const oddValues = newOddValues(clock, log, metrics);
  const store = newHttpStore(settings.store.address);
  const memory = newMemoryBudget({
    clock,
    log,
    metrics,
    limits: computeMemoryLimits(settings.memory.limitMb),
    collect: newGarbageCollector(),
  });
  errors.reportTo({ log, metrics });
  const tasks = newTaskGroup(errors.failTask);
  const departure = newDeparture(clock, terms.shutdownSeconds * MS_PER_SECOND);
  const { isLeaving } = departure;

  const settingsView = newSettingsView(log);
  const meter = newUsageMeter({
    clock,
    log,
    metrics,
    windowMs: terms.usageWindowSeconds * MS_PER_SECOND,
  });
  const loads = newLoads(clock);
  const coordination = newCoordination({
    clock,
    log,
    store,
    oddValues,
    host,
    incarnation,
    failureDomain,
    regions,
    address: settings.listen.peers,
    cores,
    leaseMs: terms.leaseMs,
    meter,
    readRunningCounts: loads.countAllLocal,
    isLeaving,
  });
  loads.setRemoteLoads(coordination.runningElsewhere);
  const upstreams = newUpstreamAccess({
    clock,
    log,
    metrics,
    oddValues,
    settings,
    settingsView,
    loads,
    readHostLoads: coordination.members.hostLoads,
    readOtherDemand: coordination.members.demandElsewhere,
  });
  coordination.announceDemand(upstreams.admissions.demand);
  coordination.sharePaces(upstreams.paces.unusual);
  upstreams.paces.setSharedPaces(coordination.members.paces);
  const { directory, evacuations, health, paces, connections, crashHistory, client, candidates } =
    upstreams;
  const homesOf = ({ route, customer }: BatchOwner): Homes => {
    const effective = settingsView.read();
    if (!effective) return new Set();
    return findHomes(effective, effective.routesByName.get(route), customer);
  };
  const retentionMs = terms.batchLifeSeconds * MS_PER_SECOND;
  const batchStore = newBatchStore({
    clock,
    log,
    memory,
    store,
    oddValues,
    host,
    incarnation,
    retentionMs,
    readIntervalFactor: coordination.readIntervalFactor,
  });
  const peerService = newPeerService({
    clock,
    batchStore,
    coordination,
    departure,
    crashHistory,
    findNewerSettings: settingsView.findNewerSource,
    listEvacuations: evacuations.all,
  });
  const peers = newPeers({
    clock,
    log,
    oddValues,
    failureDomain,
    readPeers: () => coordination.members.recentMembers().filter((member) => member.host !== host),
    self: { host, cores, failureDomain, address: settings.listen.peers },
    mayHold: (batch, domain) => isInHomes(homesOf(batch), domain, regions),
    rank: ({ id, model }, hosts) => rankHosts(`batches/${model ?? id}`, hosts),
    beginHere: peerService.begin,
    hasBegunHere: peerService.hasBegun,
    recordExecutorHere: peerService.noteBegun,
    findReportedExecutor: batchStore.batches.findReportedExecutor,
  });
  upstreams.shareTrials(peers.trials);
  const crashSharing = newCrashSharing({
    clock,
    log,
    store,
    oddValues,
    incarnation,
    history: crashHistory,
    peers,
    isFresh: coordination.isFresh,
    isOwner: () => coordination.owns('crashes'),
    readIntervalFactor: coordination.readIntervalFactor,
  });
  const platform = followPlatform({
    clock,
    log,
    store,
    oddValues,
    settingsView,
    directory,
    evacuations,
    peers,
    readIntervalFactor: coordination.readIntervalFactor,
    upstreamWriteIntervalMs: terms.upstreamWriteIntervalMs,
  });
  const allowedLags = newAllowedLags();
  const demands = newDemands();
  batchStore.batches.onAccepted(({ batch, items }) => {
    const { model, step, leastVersion } = batch;
    demands.apply({ model, step, items: items.values() });
    if (model !== null) allowedLags.set(model, platform.newestVersion(model).version, leastVersion);
  });
  const partitionMonitor = newPartitionMonitor({
    clock,
    log,
    freshAt: batchStore.freshAt,
    probePeers: peers.probeStoreAccess,
  });
  const runner = newBatchRunner({
    clock,
    log,
    metrics,
    batches: batchStore.batches,
    memory,
    client,
    newEventReader: newSseReader,
    candidates,
    health,
    loads,
    paces,
    scorer: newItemScorer({
      clock,
      log,
      relay: upstreams.relay,
      admit: upstreams.admissions.run,
      readSettings: settingsView.read,
    }),
    readSettings: settingsView.read,
    isOwner: (subject, homes) => !isLeaving() && coordination.owns(`batches/${subject}`, homes),
    homesOf,
    mayWork: ({ isLogged }) => {
      const { freshAt, isUnreachable } = batchStore;
      const view = {
        freshAt: freshAt(),
        isStoreUnavailable: isUnreachable(),
        isPartitioned: partitionMonitor.isPartitioned(),
      };
      return mayStartWork(clock.now(), view, isLogged);
    },
    isListed: (id) => directory.find(id) !== undefined,
    newestVersion: (model) => platform.newestVersion(model).version,
    incarnation,
    isLeaving,
    freshAt: batchStore.freshAt,
    isLive: (otherIncarnation) =>
      coordination.members.live().some((member) => member.incarnation === otherIncarnation),
    hasLeft: coordination.members.hasLeft,
    write: batchStore.write,
    writePart: batchStore.writePart,
    writeText: batchStore.texts.write,
    readParts: batchStore.readParts,
    requests: batchStore.requests,
    handOverTo: peers.handOver,
  });
  const duties = newDuties({
    clock,
    log,
    host,
    address: settings.duties.address,
    connections,
    windowMs: terms.usageWindowSeconds * MS_PER_SECOND,
    coordination,
    directory,
    evacuations,
    readSettings: settingsView.read,
    newestVersion: platform.newestVersion,
    allowedLag: allowedLags.get,
    assignEngines: newEngineAssigner({
      demandOf: demands.demandOf,
      paceOf: (upstream) => coordination.members.paces().get(upstream) ?? 1,
    }),
    openItems: (service) =>
      batchStore.batches
        .open()
        .filter(({ batch }) => serviceOfRoute(settingsView.read(), batch.route) === service)
        .reduce((sum, { items, finished }) => sum + items.size - finished.size, 0),
    failureDomain,
    newLease: coordination.newLease,
  });
  const batchWriter = newBatchWriter({
    clock,
    log,
    writeHere: batchStore.write,
    askPeers: peers.write,
    begin: peers.begin,
  });
  const batchHandlers = newBatchHandlers({
    clock,
    log,
    memory,
    store: batchStore,
    storeRecord: batchWriter.write,
    readSettings: settingsView.read,
    hasUpstream: upstreams.hasUpstream,
    canFinish: departure.canFinish,
    onLate: departure.onLate,
  });
  const callers = newCallerHandler({
    clock,
    log,
    memory,
    metrics,
    meter,
    relay: upstreams.relayAdmitted,
    relayStream: upstreams.relayStream,
    batches: batchHandlers,
    readSettings: settingsView.read,
    departure,
  });

  const servers = newServers({
    settings,
    log,
    metrics,
    callers,
    batches: batchHandlers,
    readSettings: settingsView.read,
    peerServer: newPeerServer(peerService, memory),
    isReady: () => settingsView.read() !== null && !isLeaving(),
    isLeaving,
    describeServices: upstreams.describeServices,
  });

  /**
   * Announces through a peer that this host takes no new work, and hands its batches over to hosts
   * that reach the store.
   * @returns whether the announcement was written
   */
  const leave = async (): Promise<boolean> => {
    const announcement = peers.announce({ ...coordination.nextHeartbeat(), isLeaving: true });
    await runner.handOver('partitioned');
    return announcement;
  };

  const startTasks = (): void => {
    tasks.start('event loop', (signal) => watchEventLoop({ clock, log, metrics }, signal));
    tasks.start('settings and upstreams', platform.run);
    tasks.start('coordination', coordination.tasks.follow);
    tasks.start('heartbeats', coordination.tasks.sendHeartbeats);
    tasks.start('batches', batchStore.run);
    tasks.start('items', runner.run);
    tasks.start('crashes', crashSharing.run);
    tasks.start('duties', duties.run);
    tasks.start('partition monitor', (signal) =>
      partitionMonitor.run({ openItems: runner.open, leave }, signal),
    );
  };

  const registerGauges = (): void => {
    metrics.gauge('batch_items_open', runner.open);
    metrics.gauge('batch_items_running', runner.running);
    metrics.gauge('memory_resident_bytes', () => process.memoryUsage.rss());
    metrics.gauge('hosts_live', () => coordination.members.live().length);
    metrics.gauge('settings_version', () => settingsView.read()?.settings.version ?? 0);
    metrics.gauge('batches_view_age_ms', () => Math.round(clock.now() - batchStore.freshAt()));
  };

  const drain = newDrain({
    clock,
    log,
    departure,
    openRequests: servers.openRequestCount,
    runningItems: runner.running,
    leave: async () => {
      try {
        await runner.handOver('stopped');
      } finally {
        await Promise.all([duties.releaseLeases(), coordination.writeHeartbeat()]);
      }
    },
    closeIdle: servers.closeIdle,
    close: servers.close,
  });

  const start = async (): Promise<RunningProgram> => {
    const { address, listen } = settings;
    log.info('process.started', { incarnation, failureDomain, address, listen });
    // Without a handler SIGHUP would terminate the process; the host's own settings are not reloaded.
    process.on('SIGHUP', () => log.info('process.reload', { isChanged: false }));
    registerGauges();
    startTasks();
    await servers.listen();
    return { drain };
  };

  return { start };
};

export default newHost;
