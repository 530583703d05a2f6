import newRecordReader from '@cyclamengate/batches/newRecordReader';
import assertNever from '@cyclamengate/common/assertNever';
import type Clock from '@cyclamengate/common/Clock';
import type { EventLog } from '@cyclamengate/common/newEventLog';
import { coordinationRecordSchema } from '@cyclamengate/hosts/coordinationRecord';
import type { CoordinationRecord, Heartbeat } from '@cyclamengate/hosts/coordinationRecord';
import newHeartbeatOrder from '@cyclamengate/hosts/newHeartbeatOrder';
import newLeaseKeeper from '@cyclamengate/hosts/newLeaseKeeper';
import type { LeaseKeeper } from '@cyclamengate/hosts/newLeaseKeeper';
import newLeases from '@cyclamengate/hosts/newLeases';
import newMembers from '@cyclamengate/hosts/newMembers';
import type { Member } from '@cyclamengate/hosts/newMembers';
import newOwnership from '@cyclamengate/hosts/newOwnership';
import rankHosts from '@cyclamengate/hosts/rankHosts';
import newUsageCounts from '@cyclamengate/hosts/newUsageCounts';
import type { UsageMeter } from '@cyclamengate/hosts/newUsageMeter';
import newStoreWriter from '@cyclamengate/store/newStoreWriter';
import type { WriteOutcome } from '@cyclamengate/store/newStoreWriter';
import newTopicFollower from '@cyclamengate/store/newTopicFollower';
import type Store from '@cyclamengate/store/Store';

const TOPIC = 'coordination';
/** Least time between two reads: bounds calls and processor time; a heartbeat is due every 500 ms. */
const PACE_MS = 150;
/**
 * With more hosts there is more to read, and each read costs each host a wake-up: 80 hosts made 125,000
 * calls in a minute. A claim must still be read back within 450 ms.
 */
const HOSTS_AT_FULL_PACE = 25;
const SLOWEST_PACE_FACTOR = 2.5;
/** Heartbeats of few hosts come so often; the more hosts, the rarer, to bound what all read. */
const SHORTEST_HEARTBEAT_MS = 500;
const HEARTBEAT_MS_A_HOST = 15;
/** A host is taken for gone after this many intervals without a heartbeat. */
const MISSED_HEARTBEATS = 3.2;
/** A view older than this says nothing about who holds what. */
const FRESH_MS = 1_500;
/** Hosts of other failure domains come after so many of the domain's own. */
const OTHER_DOMAIN_RANK = 6;

export interface CoordinationOptions {
  clock: Clock;
  log: EventLog;
  store: Store;
  host: string;
  incarnation: string;
  failureDomain: string;
  /** Where other hosts reach this one. */
  address: string;
  /** This host's, in parts of one. */
  cores: number;
  leaseMs: number;
  meter: UsageMeter;
  readRunning: () => Record<string, number>;
  isLeaving: () => boolean;
}

/** What hosts agree on through the store: who is there, who holds which lease, usage. */
const newCoordination = (options: CoordinationOptions) => {
  const { clock, log, store, host, incarnation, failureDomain, address, cores, leaseMs } = options;
  const { meter, readRunning, isLeaving } = options;
  let memberCount = 1;

  const heartbeatMs = (): number =>
    Math.max(SHORTEST_HEARTBEAT_MS, memberCount * HEARTBEAT_MS_A_HOST);

  const leases = newLeases(clock, leaseMs);
  const members = newMembers(clock, host, () => heartbeatMs() * MISSED_HEARTBEATS);
  const usage = newUsageCounts();
  const order = newHeartbeatOrder();
  let heartbeats = 0;

  const applyRecord = (record: CoordinationRecord, offset: number): void => {
    switch (record.type) {
      case 'heartbeat':
        if (!order.isNews(record)) {
          log.info('heartbeat.late', { of: record.host, isLeaving: record.isLeaving, offset });
          return;
        }
        members.apply(record);
        usage.applyHeartbeat(record);
        return;
      case 'lease':
        if (!leases.apply(record, offset) && record.incarnation === incarnation) {
          log.info('lease.claim-void', { subject: record.subject, offset });
        }
        return;
      case 'usage-close':
        usage.applyClose(record.window, record.counts);
        return;
      case 'usage-reported':
        usage.applyReported(record.window);
        break;
      default:
        assertNever(record);
    }
  };

  /** How much rarer this host reads than it would among a few. */
  const paceFactor = (): number =>
    Math.min(SLOWEST_PACE_FACTOR, Math.max(1, memberCount / HOSTS_AT_FULL_PACE));

  const follower = newTopicFollower({
    clock,
    log,
    store,
    topic: TOPIC,
    readPaceMs: () => PACE_MS * paceFactor(),
    apply: newRecordReader({
      log,
      topic: TOPIC,
      schema: coordinationRecordSchema,
      apply: applyRecord,
    }),
    onWhole: members.noteView,
  });
  const writer = newStoreWriter({ clock, log, store, topic: TOPIC, producer: incarnation });

  const write = (record: CoordinationRecord, deadline: number): Promise<WriteOutcome> =>
    writer.write([Buffer.from(JSON.stringify(record))], deadline);

  const isFresh = (): boolean => clock.now() < follower.freshAt() + FRESH_MS;

  /** What this host says of itself now. */
  const describe = (): Heartbeat => {
    heartbeats += 1;
    return {
      type: 'heartbeat',
      host,
      incarnation,
      number: heartbeats,
      failureDomain,
      address,
      cores,
      isLeaving: isLeaving(),
      running: readRunning(),
      usage: meter.recent(),
      countedThrough: meter.windowNow() - 1,
    };
  };

  const heartbeat = (): Promise<WriteOutcome> => write(describe(), clock.now() + heartbeatMs());

  const noteMembers = (() => {
    let before = '';
    return (): void => {
      const names = members.live().map((member) => member.host);
      memberCount = Math.max(1, names.length);
      const now = names.join(' ');
      if (now !== before) log.info('members.changed', { count: names.length, hosts: now });
      before = now;
    };
  })();

  const beat = async (signal: AbortSignal): Promise<void> => {
    while (!signal.aborted) {
      const next = clock.now() + heartbeatMs();
      await heartbeat();
      noteMembers();
      await clock.sleepUntil(next, signal);
    }
  };

  const ranks = new Map<string, string[]>();
  let rankedFor: Member[] = [];

  /** Live hosts in the order in which they come for a subject; the same on every host. */
  const rank = (subject: string): string[] => {
    const live = members.live();
    if (live !== rankedFor) ranks.clear();
    rankedFor = live;
    const known = ranks.get(subject);
    if (known) return known;
    const ranked = rankHosts(subject, live);
    ranks.set(subject, ranked);
    return ranked;
  };

  /** This host's place for a subject of a failure domain, whose own hosts come first. */
  const placeFor = (subject: string, domain: string | null): number | null => {
    if (isLeaving() || !isFresh()) return null;
    const ranked = rank(subject);
    const isNear = domain === null || domain === failureDomain;
    const place = ranked.indexOf(host);
    if (place === -1) return null;
    return isNear ? place : place + OTHER_DOMAIN_RANK;
  };

  const newKeeper = (subject: string, domain: string | null): LeaseKeeper =>
    newLeaseKeeper({
      clock,
      log,
      leases,
      subject,
      host,
      incarnation,
      termMs: leaseMs,
      write,
      rank: () => placeFor(subject, domain),
      isFresh,
    });

  return {
    members,
    usage,
    write,
    isFresh,
    newKeeper,
    paceFactor,
    describe,
    heartbeat,
    owns: newOwnership({ clock, host, rank, isFresh }),
    othersRunning: members.runningElsewhere,
    tasks: { follow: follower.run, beat },
  };
};

export type Coordination = ReturnType<typeof newCoordination>;

export default newCoordination;
