import type Clock from '@cyclamengate/common/Clock';
import hadOutage from '@cyclamengate/store/hadOutage';
import type { Heartbeat } from './coordinationRecord.js';
import { foldPaces, selectPacesToShare } from './foldPaces.js';
import MAX_HOSTS from './maxHosts.js';

export interface Member {
  host: string;
  incarnation: string;
  failureDomain: string;
  address: string;
  /** May be fractional. */
  cores: number;
  running: Record<string, number>;
}

/** A host and the number of requests that it is running. */
export interface HostLoad {
  host: string;
  running: number;
}

/** Requests that a host runs or has waiting, by service. */
export type Demand = Readonly<Record<string, number>>;

/** A result computed from the known hosts; valid until the view, or the clock, reaches a time. */
interface CachedResult<T> {
  value: T;
  validUntil: number;
}

interface KnownHost {
  heartbeat: Heartbeat;
  /** The host counts as live until the view reaches this time. */
  deadline: number;
  /** The load that the host reported is used until the clock reaches this time. */
  loadDeadline: number;
}

/**
 * Covers outages of the store, which last up to nine seconds. Each listed host that died in the
 * meantime costs one failed call.
 */
const RECENT_HOST_RETENTION_MS = 12_000;

/**
 * Tracks which hosts are live from the heartbeats in the store.
 *
 * A host expires once the view has advanced by the heartbeat lifetime without a heartbeat of that
 * host. Elapsed time alone is not evidence: when the store becomes unavailable, the newest
 * heartbeats are already some hundred milliseconds old. If hosts expired by the clock, all of them
 * would expire while the view still counts as fresh, and unfinished items would be dropped. During
 * an outage no host can write, so hosts that were live before it get a full lifetime from its end.
 *
 * The live hosts are read some hundred times a second, and with a hundred hosts computing them each
 * time took more CPU time than everything else. So the list is cached until a host joins, leaves or
 * expires.
 *
 * @param host this host
 */
const newMembers = (clock: Clock, host: string, readLifetimeMs: () => number) => {
  const knownHosts = new Map<string, KnownHost>();
  /** The view holds all records written before this time; null until `advanceView` is called. */
  let viewTime: number | null = null;
  let lastOutageEndedAt = -Infinity;

  let cachedLive: CachedResult<Member[]> | null = null;
  let cachedLoad: CachedResult<Map<string, number>> | null = null;
  let cachedPaces: CachedResult<Map<string, number>> | null = null;
  let cachedDemand: CachedResult<Demand[]> | null = null;

  const currentViewTime = (): number => viewTime ?? clock.now();

  const isUnexpired = ({ deadline }: KnownHost): boolean => currentViewTime() < deadline;

  const isLive = (knownHost: KnownHost): boolean =>
    !knownHost.heartbeat.isLeaving && isUnexpired(knownHost);

  const isRecent = ({ deadline }: KnownHost): boolean =>
    clock.now() < deadline + RECENT_HOST_RETENTION_MS;

  /** Hosts of earlier times are kept until others need their places: some may still ask who left. */
  const hasPlaceFor = (name: string): boolean => {
    if (knownHosts.size < MAX_HOSTS || knownHosts.has(name)) return true;
    [...knownHosts]
      .filter(([, knownHost]) => !isRecent(knownHost))
      .forEach(([former]) => knownHosts.delete(former));
    return knownHosts.size < MAX_HOSTS;
  };

  /** @returns false if there are too many hosts to know one more */
  const apply = (heartbeat: Heartbeat): boolean => {
    if (!hasPlaceFor(heartbeat.host)) return false;
    const previous = knownHosts.get(heartbeat.host);
    const isSameLiveIncarnation =
      previous !== undefined &&
      isLive(previous) &&
      !heartbeat.isLeaving &&
      previous.heartbeat.incarnation === heartbeat.incarnation;
    if (!isSameLiveIncarnation) cachedLive = null;
    cachedLoad = null;
    if (heartbeat.paces || previous?.heartbeat.paces) cachedPaces = null;
    cachedDemand = null;
    const deadline = clock.now() + readLifetimeMs();
    knownHosts.set(heartbeat.host, { heartbeat, deadline, loadDeadline: deadline });
    return true;
  };

  const computeLive = (): CachedResult<Member[]> => {
    const liveHosts = [...knownHosts.values()].filter(isLive);
    return {
      value: liveHosts
        .map(({ heartbeat }) => heartbeat)
        .sort((left, right) => (left.host < right.host ? -1 : 1)),
      validUntil: Math.min(...liveHosts.map(({ deadline }) => deadline)),
    };
  };

  /** Other hosts whose load is recent enough to count. */
  const listLoaded = (): KnownHost[] =>
    [...knownHosts.values()].filter(
      ({ heartbeat, loadDeadline }) => heartbeat.host !== host && clock.now() < loadDeadline,
    );

  const computeDemand = (): CachedResult<Demand[]> => {
    const others = listLoaded();
    return {
      value: others.map(({ heartbeat }) => heartbeat.demand ?? {}),
      validUntil: Math.min(...others.map(({ loadDeadline }) => loadDeadline)),
    };
  };

  const computeLoad = (): CachedResult<Map<string, number>> => {
    const value = new Map<string, number>();
    const others = listLoaded();
    others.forEach(({ heartbeat }) =>
      Object.entries(heartbeat.running).forEach(([upstream, count]) =>
        value.set(upstream, (value.get(upstream) ?? 0) + count),
      ),
    );
    return { value, validUntil: Math.min(...others.map(({ loadDeadline }) => loadDeadline)) };
  };

  const liveHeartbeats = (): Heartbeat[] =>
    [...knownHosts.values()].filter(isLive).map(({ heartbeat }) => heartbeat);

  const computePaces = (): CachedResult<Map<string, number>> => ({
    value: foldPaces(liveHeartbeats()),
    validUntil: Math.min(
      ...[...knownHosts.values()].filter(isLive).map(({ deadline }) => deadline),
    ),
  });

  /** @param at monotonic time before which all written records are in the view */
  const advanceView = (at: number): void => {
    if (viewTime !== null && hadOutage(viewTime, at)) {
      lastOutageEndedAt = at;
      [...knownHosts.values()].filter(isUnexpired).forEach((knownHost) => {
        knownHost.deadline = Math.max(knownHost.deadline, at + readLifetimeMs());
      });
    }
    if (viewTime === null) {
      cachedLive = null;
      cachedPaces = null;
    }
    viewTime = Math.max(viewTime ?? at, at);
  };

  return {
    apply,
    advanceView,
    /** When the store could be read again after its last outage; minus infinity before the first. */
    lastOutageEndedAt: (): number => lastOutageEndedAt,
    /** Live hosts that accept work, sorted by name; the same array while they are unchanged. */
    live: (): Member[] => {
      if (!cachedLive || currentViewTime() >= cachedLive.validUntil) cachedLive = computeLive();
      return cachedLive.value;
    },
    /** Hosts with a recent heartbeat, including those read before an outage of the store. */
    recentMembers: (): Member[] =>
      [...knownHosts.values()]
        .filter(isRecent)
        .map(({ heartbeat }) => heartbeat)
        .filter(({ isLeaving }) => !isLeaving),
    /** Whether an incarnation of a host announced that it is leaving, or was replaced. */
    hasLeft: (name: string, incarnation: string): boolean => {
      const heartbeat = knownHosts.get(name)?.heartbeat;
      return (
        heartbeat !== undefined && (heartbeat.isLeaving || heartbeat.incarnation !== incarnation)
      );
    },
    /**
     * Number of requests that other hosts are running at each upstream, from their newest
     * heartbeats. These counts expire by the clock. During an outage the view does not advance, so
     * upstreams that were full when it began would otherwise look full until its end, and no
     * request would start.
     */
    runningElsewhere: (): ReadonlyMap<string, number> => {
      if (!cachedLoad || clock.now() >= cachedLoad.validUntil) cachedLoad = computeLoad();
      return cachedLoad.value;
    },
    /**
     * Paces of upstreams that differ clearly from their peers, as the live hosts measured them. They
     * expire by the view, so that hosts with the same view agree, and no engine changes its models
     * because the store is unavailable.
     */
    paces: (): ReadonlyMap<string, number> => {
      if (!cachedPaces || currentViewTime() >= cachedPaces.validUntil) cachedPaces = computePaces();
      return cachedPaces.value;
    },
    /** What this host has to share of the paces that it measured. */
    selectPacesToShare: (paces: Record<string, number>): Record<string, number> =>
      selectPacesToShare(host, paces, liveHeartbeats()),
    /**
     * What other hosts run or have waiting, one entry a host. Expires by the clock, as the counts
     * above: a host that is cut off would otherwise leave places to hosts that it knows nothing of.
     */
    demandElsewhere: (): readonly Demand[] => {
      if (!cachedDemand || clock.now() >= cachedDemand.validUntil) cachedDemand = computeDemand();
      return cachedDemand.value;
    },
    /**
     * Hosts that may send requests to upstreams, with the number that each is running, by name. During
     * an outage the list stays as it was.
     */
    hostLoads: (): HostLoad[] =>
      [...knownHosts.values()]
        .filter(isUnexpired)
        .map(({ heartbeat }) => ({
          host: heartbeat.host,
          running: Object.values(heartbeat.running).reduce((sum, count) => sum + count, 0),
        }))
        .sort((left, right) => (left.host < right.host ? -1 : 1)),
    /** Newest heartbeats of all hosts that were live lately, including hosts that are leaving. */
    recentHeartbeats: (): Heartbeat[] =>
      [...knownHosts.values()].filter(isRecent).map(({ heartbeat }) => heartbeat),
    /** Newest heartbeats of all hosts that have not expired, including hosts that are leaving. */
    unexpiredHeartbeats: (): Heartbeat[] =>
      [...knownHosts.values()].filter(isUnexpired).map(({ heartbeat }) => heartbeat),
  };
};

export type Members = ReturnType<typeof newMembers>;

export default newMembers;
