import type Clock from '@cyclamengate/common/Clock';
import type { Log } from '@cyclamengate/common/newLogger';
import type { Metrics } from '@cyclamengate/common/newMetrics';
import newId from '@cyclamengate/common/newId';
import type { TaskGroup } from '@cyclamengate/common/newTaskGroup';
import rendezvousRank from '@cyclamengate/common/rendezvousRank';
import type PlatformLog from '@cyclamengate/platform/PlatformLog';
import type { HostSettings } from '@cyclamengate/settings/hostSettings';
import newEffectiveSettings from '@cyclamengate/settings/newEffectiveSettings';
import type { EffectiveSettings } from '@cyclamengate/settings/newEffectiveSettings';
import chooseSources from './chooseSources.js';
import type { Exchange } from './exchange.js';
import followLog from './followLog.js';
import gossip from './gossip.js';
import type { Member, MemberRole } from './member.js';
import newFollower from './newFollower.js';
import { newLease } from './newLease.js';
import type { Lease } from './newLease.js';
import { newLogSource } from './newLogSource.js';
import newLogWriter from './newLogWriter.js';
import newMembership from './newMembership.js';
import newPeer from './newPeer.js';
import type { Peer } from './newPeer.js';
import newPeerServer from './newPeerServer.js';
import newSuspects from './newSuspects.js';
import type { PeerService } from './peerRouter.js';
import type RecordSource from './RecordSource.js';

/** Limit of appends per second for the whole system; the log accepts several hundred. */
const SYSTEM_APPENDS_PER_SECOND = 200;
const MIN_APPENDS_PER_SECOND = 0.5;
const MAX_APPENDS_PER_SECOND = 40;
const CLAIM_DELAY_PER_RANK_MS = 400;

export interface RuntimeOptions {
  clock: Clock;
  log: Log;
  metrics: Metrics;
  tasks: TaskGroup;
  settings: HostSettings;
  role: MemberRole;
  platformLog: PlatformLog;
  keepUsage?: PeerService['keepUsage'];
  keepPayload?: PeerService['keepPayload'];
  readPayload?: PeerService['readPayload'];
}

/** The parts that every process has: the shared state, a log writer, peers and leases. */
const newRuntime = (options: RuntimeOptions) => {
  const { clock, log, metrics, tasks, settings, role, platformLog } = options;
  const follower = newFollower(clock);
  const suspects = newSuspects();
  const peers = new Map<string, Peer>();
  const incarnation = newId(settings.id);
  const peerUrl = `http://${settings.peer.host}:${settings.peer.port}`;
  const logSource = newLogSource(platformLog);
  const self: Member = {
    id: settings.id,
    incarnation,
    role,
    failureDomain: settings.failureDomain,
    peerUrl,
    url: `http://${settings.listen.host}:${settings.listen.port}`,
    // A restarted process must start above its previous heartbeats, or peers would ignore it.
    heartbeat: clock.wallTime(),
    offset: -1,
    isLeaving: false,
    inFlight: {},
    demand: {},
  };
  const readSelf = (): Member => ({ ...self, offset: follower.state().offset });
  const membership = newMembership(clock, readSelf, Math.random);

  const writer = newLogWriter({
    clock,
    log: platformLog,
    follower,
    metrics,
    writer: settings.id,
    appendsPerSecond: () =>
      Math.min(
        MAX_APPENDS_PER_SECOND,
        Math.max(MIN_APPENDS_PER_SECOND, SYSTEM_APPENDS_PER_SECOND / membership.live().length),
      ),
  });

  let effective: EffectiveSettings = newEffectiveSettings({});
  const settingsListeners = new Set<(settings: EffectiveSettings) => void>();
  const refreshSettings = (): void => {
    effective = newEffectiveSettings(follower.state().settings);
    settingsListeners.forEach((listener) => listener(effective));
  };
  follower.onStateReplaced(refreshSettings);
  follower.onFolded(({ record, decision, offset }) => {
    if (record.type !== 'settings-change') return;
    log.info({ event: 'settings-change', offset, ...decision });
    if (decision.accepted) refreshSettings();
  });

  const peerAt = (url: string): Peer => {
    const peer = peers.get(url) ?? newPeer(url);
    peers.set(url, peer);
    return peer;
  };

  const readSources = (): RecordSource[] => {
    const chosen = chooseSources(readSelf(), membership.others()).map((member) =>
      member ? peerAt(member.peerUrl).source : logSource,
    );
    const seeds = settings.seeds.map((url) => peerAt(url).source);
    const byName = new Map([...chosen, ...seeds].map((source) => [source.name, source]));
    return [...byName.values()];
  };

  const buildExchange = (): Exchange => ({
    members: membership.membersToSend(),
    suspects: suspects.suspectsToSend(),
  });
  const applyExchange = (received: Exchange): void => {
    // Peers may know higher heartbeats of a previous incarnation whose wall clock was ahead.
    const own = received.members.filter(({ id }) => id === self.id);
    self.heartbeat = Math.max(self.heartbeat, ...own.map(({ heartbeat }) => heartbeat + 1));
    membership.merge(received.members);
    suspects.merge(received.suspects);
  };

  const service: PeerService = {
    exchange: (received) => {
      applyExchange(received);
      return buildExchange();
    },
    records: async (from, waitMs) => {
      await follower.waitPast(from - 1, clock.now() + waitMs);
      return {
        records: follower.ring.from(from),
        first: follower.ring.first(follower.state().offset + 1),
        logFirst: follower.logFirst(),
        ageMs: Math.min(Number.MAX_SAFE_INTEGER, clock.now() - follower.currentAt()),
      };
    },
    snapshot: follower.state,
    members: () => ({ live: membership.live(), silent: membership.unresponsive() }),
    keepUsage: options.keepUsage ?? (() => undefined),
    keepPayload: options.keepPayload ?? (() => false),
    readPayload: options.readPayload ?? (() => null),
  };

  const server = newPeerServer(service);
  metrics.gauge('peer_bytes', server.bytes);

  const start = async (): Promise<void> => {
    await server.listen(settings.peer.host, settings.peer.port);
    tasks.start('log writer', writer.run);
    tasks.start('log follower', (signal) =>
      followLog(
        { clock, follower, sources: readSources, highestKnownOffset: membership.highestOffset },
        signal,
      ),
    );
    tasks.start('gossip', (signal) =>
      gossip(
        {
          clock,
          membership,
          seeds: settings.seeds.filter((seed) => seed !== peerUrl),
          peerAt,
          buildExchange,
          applyExchange,
          advanceHeartbeat: () => {
            self.heartbeat += 1;
          },
          random: Math.random,
        },
        signal,
      ),
    );
  };

  /** Delay by rank among the live members of this role, those of the preferred domain first. */
  const claimDelayMs = (name: string, preferredDomain: string | null): number => {
    const candidates = membership.live().filter((member) => member.role === role);
    const isPreferred = (member: Member): boolean => member.failureDomain === preferredDomain;
    const order = rendezvousRank(
      name,
      candidates.map(({ id }) => id),
    );
    const preferred = candidates.filter(isPreferred).map(({ id }) => id);
    const ranking = [
      ...order.filter((id) => preferred.includes(id)),
      ...order.filter((id) => !preferred.includes(id)),
    ];
    return Math.max(0, ranking.indexOf(settings.id)) * CLAIM_DELAY_PER_RANK_MS;
  };

  const startLease = (name: string, preferredDomain: string | null = null): Lease => {
    const lease = newLease({
      clock,
      follower,
      writer,
      name,
      holder: incarnation,
      claimDelayMs: () => claimDelayMs(name, preferredDomain),
    });
    tasks.start(`lease ${name}`, lease.run);
    return lease;
  };

  return {
    start,
    startLease,
    self,
    follower,
    writer,
    membership,
    suspects,
    peerAt,
    incarnation,
    effective: (): EffectiveSettings => effective,
    onSettings: (listener: (settings: EffectiveSettings) => void): void => {
      settingsListeners.add(listener);
    },
    close: server.close,
  };
};

export type Runtime = ReturnType<typeof newRuntime>;

export default newRuntime;
