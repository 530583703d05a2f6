import newRecordReader from '@cyclamengate/batches/newRecordReader';
import assertNever from '@cyclamengate/common/assertNever';
import type Clock from '@cyclamengate/common/Clock';
import { describeHomes, isInHomes } from '@cyclamengate/common/homes';
import type { Homes, Regions } from '@cyclamengate/common/homes';
import type { EventLog } from '@cyclamengate/common/newEventLog';
import type { OddValues } from '@cyclamengate/common/newOddValues';
import { coordinationRecordSchema } from '@cyclamengate/hosts/coordinationRecord';
import type { CoordinationRecord, Heartbeat } from '@cyclamengate/hosts/coordinationRecord';
import newHeartbeatOrder from '@cyclamengate/hosts/newHeartbeatOrder';
import newHostRanking from '@cyclamengate/hosts/newHostRanking';
import newLeaseKeeper from '@cyclamengate/hosts/newLeaseKeeper';
import type { LeaseKeeper } from '@cyclamengate/hosts/newLeaseKeeper';
import newLeases from '@cyclamengate/hosts/newLeases';
import newMembers from '@cyclamengate/hosts/newMembers';
import type { Member } from '@cyclamengate/hosts/newMembers';
import newOwnership from '@cyclamengate/hosts/newOwnership';
import readHeartbeat from '@cyclamengate/hosts/readHeartbeat';
import newUsageCounts from '@cyclamengate/hosts/newUsageCounts';
import type { UsageMeter } from '@cyclamengate/hosts/newUsageMeter';
import newStoreWriter from '@cyclamengate/store/newStoreWriter';
import type { WriteOutcome } from '@cyclamengate/store/newStoreWriter';
import newTopicFollower from '@cyclamengate/store/newTopicFollower';
import type Store from '@cyclamengate/store/Store';

const TOPIC = 'coordination';
/** Minimum time between two reads, to limit calls and CPU time; heartbeats are due every 500 ms. */
const READ_INTERVAL_MS = 150;
/**
 * Above this number of hosts each host reads less often, since there is more to read and every read
 * costs CPU time: 80 hosts made 125,000 calls in a minute. The read interval is bounded because a lease
 * claim must be read back within 450 ms.
 */
const HOSTS_AT_FULL_READ_RATE = 25;
const MAX_READ_INTERVAL_FACTOR = 2.5;
/** The heartbeat interval grows with the number of hosts, to limit what every host has to read. */
const MIN_HEARTBEAT_INTERVAL_MS = 500;
const HEARTBEAT_INTERVAL_MS_PER_HOST = 15;
/** A host is considered dead after this many intervals without a heartbeat. */
const HEARTBEAT_TIMEOUT_INTERVALS = 3.2;
/** No lease is claimed and no ownership decided on a view older than this. */
const MAX_VIEW_AGE_MS = 1_500;
/** Added to the rank of hosts in other failure domains, so that the lease's own domain claims first. */
const OTHER_DOMAIN_RANK_OFFSET = 6;
/** Windows in the line about a record that names windows ahead of the clock. */
const MAX_NAMED_WINDOWS = 3;

export interface CoordinationOptions {
  clock: Clock;
  log: EventLog;
  store: Store;
  oddValues: OddValues;
  host: string;
  incarnation: string;
  failureDomain: string;
  regions: Regions;
  /** Address on which this host serves its peers. */
  address: string;
  /** Cores available to this host; may be fractional. */
  cores: number;
  leaseMs: number;
  meter: UsageMeter;
  /** This host's running requests, by upstream. */
  readRunningCounts: () => Record<string, number>;
  isLeaving: () => boolean;
}

/** Cluster state shared through the store: membership, leases and usage counts. */
const newCoordination = (options: CoordinationOptions) => {
  const { clock, log, store, host, incarnation, failureDomain, address, cores, leaseMs } = options;
  const { meter, regions, readRunningCounts, isLeaving } = options;
  let memberCount = 1;
  let readPaces = (): Record<string, number> => ({});
  let readDemand = (): Record<string, number> => ({});

  const heartbeatIntervalMs = (): number =>
    Math.max(MIN_HEARTBEAT_INTERVAL_MS, memberCount * HEARTBEAT_INTERVAL_MS_PER_HOST);

  const followedLeases = new Set<string>();
  const leases = newLeases(clock, leaseMs, (subject) => followedLeases.has(subject));
  const members = newMembers(
    clock,
    host,
    () => heartbeatIntervalMs() * HEARTBEAT_TIMEOUT_INTERVALS,
  );
  const usage = newUsageCounts(meter.currentWindow);
  const heartbeatOrder = newHeartbeatOrder(clock);
  let heartbeatNumber = 0;

  const rejectAhead = (windows: number[], offset: number): void => {
    const ahead = windows.filter(usage.isAhead).slice(0, MAX_NAMED_WINDOWS);
    if (ahead.length === 0) return;
    options.oddValues.reject('coordination', 'usage.window-ahead', { windows: ahead, offset });
  };

  const applyRecord = (record: CoordinationRecord, offset: number): void => {
    switch (record.type) {
      case 'heartbeat':
        if (!heartbeatOrder.recordIfNewer(record)) {
          log.info('heartbeat.late', { of: record.host, isLeaving: record.isLeaving, offset });
          return;
        }
        if (!members.apply(record)) {
          options.oddValues.reject('coordination', 'heartbeat.no-place', {
            of: record.host,
            offset,
          });
          return;
        }
        rejectAhead(Object.keys(record.usage).map(Number), offset);
        usage.applyHeartbeat(record);
        return;
      case 'lease':
        if (!leases.apply(record, offset) && record.incarnation === incarnation) {
          log.info('lease.claim-void', { subject: record.subject, offset });
        }
        return;
      case 'usage-close':
        rejectAhead([record.window], offset);
        usage.applyClose(record.window, record.counts);
        return;
      case 'usage-reported':
        rejectAhead([record.window], offset);
        usage.applyReported(record.window);
        break;
      default:
        assertNever(record);
    }
  };

  /** Factor by which the read interval grows with the number of hosts. */
  const readIntervalFactor = (): number =>
    Math.min(MAX_READ_INTERVAL_FACTOR, Math.max(1, memberCount / HOSTS_AT_FULL_READ_RATE));

  const follower = newTopicFollower({
    clock,
    log,
    store,
    topic: TOPIC,
    readIntervalMs: () => READ_INTERVAL_MS * readIntervalFactor(),
    apply: newRecordReader({
      oddValues: options.oddValues,
      topic: TOPIC,
      schema: coordinationRecordSchema,
      readFrequent: readHeartbeat,
      apply: applyRecord,
    }),
    onCaughtUp: members.advanceView,
    onGap: leases.noteGap,
  });
  const writer = newStoreWriter({ clock, log, store, topic: TOPIC, producer: incarnation });

  const write = (record: CoordinationRecord, deadline: number): Promise<WriteOutcome> =>
    writer.write([Buffer.from(JSON.stringify(record))], deadline);

  const isFresh = (): boolean => clock.now() < follower.freshAt() + MAX_VIEW_AGE_MS;

  // Both are left out of a heartbeat where there is nothing to tell.
  const pacesToShare = (): Pick<Heartbeat, 'paces'> => {
    const paces = members.selectPacesToShare(readPaces());
    return Object.keys(paces).length > 0 ? { paces } : {};
  };

  const demandToShare = (): Pick<Heartbeat, 'demand'> => {
    const demand = readDemand();
    return Object.keys(demand).length > 0 ? { demand } : {};
  };

  /** The next heartbeat of this host; each call increments the heartbeat number. */
  const nextHeartbeat = (): Heartbeat => {
    heartbeatNumber += 1;
    return {
      type: 'heartbeat',
      host,
      incarnation,
      number: heartbeatNumber,
      failureDomain,
      address,
      cores,
      isLeaving: isLeaving(),
      running: readRunningCounts(),
      ...pacesToShare(),
      ...demandToShare(),
      usage: meter.unreportedWindows(usage.isClosed),
      countedThrough: meter.currentWindow() - 1,
    };
  };

  const writeHeartbeat = (): Promise<WriteOutcome> =>
    write(nextHeartbeat(), clock.now() + heartbeatIntervalMs());

  const updateMemberCount = (() => {
    let loggedHosts = '';
    return (): void => {
      const names = members.live().map((member) => member.host);
      memberCount = Math.max(1, names.length);
      const hosts = names.join(' ');
      if (hosts !== loggedHosts) log.info('members.changed', { count: names.length, hosts });
      loggedHosts = hosts;
    };
  })();

  const sendHeartbeats = async (signal: AbortSignal): Promise<void> => {
    while (!signal.aborted) {
      const next = clock.now() + heartbeatIntervalMs();
      await writeHeartbeat();
      updateMemberCount();
      await clock.sleepUntil(next, signal);
    }
  };

  const rankHosts = newHostRanking();
  const ranks = new Map<string, string[]>();
  let rankedMembers: Member[] = [];

  /** Reads a ranking that was computed for the same live hosts, or computes it. */
  const getOrComputeRanks = (key: string, compute: (live: Member[]) => string[]): string[] => {
    const live = members.live();
    if (live !== rankedMembers) ranks.clear();
    rankedMembers = live;
    const cached = ranks.get(key);
    if (cached) return cached;
    const ranked = compute(live);
    ranks.set(key, ranked);
    return ranked;
  };

  /** Live hosts in order of preference for a subject; the order is the same on every host. */
  const rank = (subject: string): string[] =>
    getOrComputeRanks(subject, (live) => rankHosts(subject, live));

  const rankInHomes = (subject: string, homes: Homes): string[] => {
    if (homes === null) return rank(subject);
    return getOrComputeRanks(`${subject}\n${describeHomes(homes)}`, (live) => {
      const domains = new Map(live.map((member) => [member.host, member.failureDomain]));
      return rank(subject).filter((name) => isInHomes(homes, domains.get(name) ?? '', regions));
    });
  };

  /** This host's rank among the hosts that may claim a lease; null while it must not claim it. */
  const leaseRankFor = (subject: string, domain: string | null): number | null => {
    if (isLeaving() || !isFresh()) return null;
    const ranked = rank(subject);
    const isOwnDomain = domain === null || domain === failureDomain;
    const position = ranked.indexOf(host);
    if (position === -1) return null;
    return isOwnDomain ? position : position + OTHER_DOMAIN_RANK_OFFSET;
  };

  /** To be called before the records are read. */
  const newLease = (subject: string, domain: string | null): LeaseKeeper => {
    followedLeases.add(subject);
    return newLeaseKeeper({
      clock,
      log,
      leases,
      subject,
      host,
      incarnation,
      termMs: leaseMs,
      write,
      rank: () => leaseRankFor(subject, domain),
      isFresh,
    });
  };

  return {
    members,
    usage,
    write,
    isFresh,
    newLease,
    readIntervalFactor,
    nextHeartbeat,
    /** @param read returns this host's running and waiting requests, by service */
    announceDemand: (read: () => Record<string, number>): void => {
      readDemand = read;
    },
    writeHeartbeat,
    owns: newOwnership({ clock, host, rank: rankInHomes, isFresh }),
    runningElsewhere: members.runningElsewhere,
    /** @param read returns upstreams clearly faster or slower than their peers, as measured here */
    sharePaces: (read: () => Record<string, number>): void => {
      readPaces = read;
    },
    tasks: { follow: follower.run, sendHeartbeats },
  };
};

export type Coordination = ReturnType<typeof newCoordination>;

export default newCoordination;
