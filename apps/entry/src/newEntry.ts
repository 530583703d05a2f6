import { handler } from '@cyclamengate/common/handler';
import newDaemon from '@cyclamengate/coordination/newDaemon';
import type { Daemon } from '@cyclamengate/coordination/newDaemon';
import type { UsageDelta } from '@cyclamengate/coordination/usageRecords';
import type { RunningProgram } from '@cyclamengate/common/startProgram';
import newHttpHostList from '@cyclamengate/platform/newHttpHostList';
import newCallClaims from '@cyclamengate/routing/newCallClaims';
import newChoice from '@cyclamengate/routing/newChoice';
import newGenerationRelay from '@cyclamengate/routing/newGenerationRelay';
import newRetryBudget from '@cyclamengate/routing/newRetryBudget';
import newServiceRelay from '@cyclamengate/routing/newServiceRelay';
import type { HostSettings } from '@cyclamengate/settings/hostSettings';
import { newHttpModelEngine } from '@cyclamengate/upstreams/newHttpModelEngine';
import newHttpPlainService from '@cyclamengate/upstreams/newHttpPlainService';
import newUpstreamDirectory from '@cyclamengate/upstreams/newUpstreamDirectory';
import { watchHostList, watchLoads } from '@cyclamengate/upstreams/watchUpstreams';
import newMeter from '@cyclamengate/usage/newMeter';
import newUsageReplicaStore from '@cyclamengate/usage/newUsageReplicaStore';
import type { UsageReplicaStore } from '@cyclamengate/usage/newUsageReplicaStore';
import type { EntryDependencies } from './entryDependencies.js';
import newAdmissions from './newAdmissions.js';
import newCompletionHandler from './newCompletionHandler.js';
import newGate from './newGate.js';
import newOpenRequests from './newOpenRequests.js';
import newServiceHandler from './newServiceHandler.js';

const PROGRAM = 'cyclamengate-entry';

/**
 * Copies this host's usage that is not in the log yet to another entry, preferably one in another
 * failure domain.
 */
const newUsageReplicator = ({ runtime, settings }: Daemon) => {
  let wasLastCopyEmpty = true;
  return async (deltas: UsageDelta[]): Promise<void> => {
    if (deltas.length === 0 && wasLastCopyEmpty) return;
    const entries = runtime.membership.others().filter(({ role }) => role === 'entry');
    const inOtherDomain = entries.find(
      ({ failureDomain }) => failureDomain !== settings.failureDomain,
    );
    const peer = inOtherDomain ?? entries[0];
    if (!peer) return;
    const copied = await runtime.peerAt(peer.peerUrl).keepUsage(runtime.incarnation, deltas);
    wasLastCopyEmpty = copied.ok && deltas.length === 0;
  };
};

/** The process that serves callers' requests. */
const newEntry = (settings: HostSettings) => {
  const usageReplicaStore: { current: UsageReplicaStore | null } = { current: null };
  const daemon = newDaemon(PROGRAM, 'entry', settings, {
    keepUsage: (host, deltas) => usageReplicaStore.current?.store(host, deltas),
  });
  const { clock, metrics, tasks, runtime, log, app } = daemon;
  const { follower, writer, suspects } = runtime;
  const engine = newHttpModelEngine();
  const directory = newUpstreamDirectory(clock, runtime.effective, (failureDomain) =>
    follower.state().evacuatedDomains.includes(failureDomain),
  );
  const openRequests = newOpenRequests();
  const gate = newGate(clock, runtime);
  const admissions = newAdmissions(daemon, directory, openRequests);
  const budget = newRetryBudget();
  const choice = newChoice(settings.policy.choice, settings.failureDomain, Math.random);
  const now = (): number => clock.now();
  const meter = newMeter({
    clock,
    follower,
    writer,
    host: runtime.incarnation,
    windowMs: settings.usageWindowSeconds * 1_000,
    copy: newUsageReplicator(daemon),
  });
  usageReplicaStore.current = newUsageReplicaStore({
    clock,
    follower,
    writer,
    isLive: (host) => runtime.membership.live().some(({ incarnation }) => incarnation === host),
  });
  const dependencies: EntryDependencies = {
    daemon,
    gate,
    admissions,
    openRequests,
    relayGeneration: newGenerationRelay({ now, engine, directory, choice, suspects, budget }),
    relayService: newServiceRelay({
      now,
      plain: newHttpPlainService(),
      directory,
      choice,
      budget,
    }),
    claimCall: newCallClaims(clock, writer),
    meter,
  };

  const onFault = (error: unknown): void => {
    log.error({ event: 'handler-failed', error: String((error as Error).stack ?? error) });
  };
  const handleCompletion = handler(onFault, newCompletionHandler(dependencies));
  app.post('/v1/completions', handleCompletion);
  app.post('/v1/chat/completions', handleCompletion);
  app.all('/v1/services/*', handler(onFault, newServiceHandler(dependencies)));
  runtime.onSettings(openRequests.checkKeys);
  metrics.gauge('open_requests', openRequests.size);

  /** Refuses new requests, waits until all open ones have ended, writes usage to the log and stops. */
  const drain = async (): Promise<void> => {
    await daemon.announceLeaving();
    gate.close();
    await openRequests.whenEmpty();
    await meter.flush();
    await daemon.stop();
  };

  const start = async (): Promise<RunningProgram> => {
    await daemon.start();
    const hostList = newHttpHostList(settings.platform.hosts);
    tasks.start('host list', (signal) => watchHostList(clock, hostList, directory, signal));
    tasks.start('loads', (signal) =>
      watchLoads(clock, engine, directory, settings.failureDomain, signal),
    );
    tasks.start('admissions', admissions.run);
    tasks.start('meter', meter.run);
    if (usageReplicaStore.current) tasks.start('usage keeper', usageReplicaStore.current.run);
    return { drain };
  };

  return { start };
};

export default newEntry;
