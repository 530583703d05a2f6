import type Clock from '@cyclamengate/common/Clock';
import type { EventLog } from '@cyclamengate/common/newEventLog';
import type { Metrics } from '@cyclamengate/common/newMetrics';
import type { Evacuations } from './newEvacuations.js';
import shareRate from './shareRate.js';
import type { RequestingHost } from './shareRate.js';
import type { UpstreamEntry } from './upstreamEntry.js';

/**
 * Fraction of what an upstream bears while cold that all hosts together send. Two groups of hosts that
 * do not see each other, or the shares of two epochs within a second, stay within 1.5 times what it
 * bears, which is the users' bound without its constant part.
 */
const USED_FRACTION = 0.75;
/** Requests of any second count; they may arrive closer together than they were sent. */
const WINDOW_MS = 1_050;
/**
 * How long the shares of the hosts stay as they are. If they followed each heartbeat, several hosts
 * would use the same part of the rate within one second.
 */
const EPOCH_MS = 1_500;
/** An upstream that crashed is listed again within this time of its start. */
const RELISTING_MS = 2_000;

/** What a service's upstreams bear while cold. */
export interface ColdLimit {
  /** Time for which an upstream is cold after its start. */
  coldMs: number;
  /** Requests per second from all hosts together. */
  requestsPerSecond: number;
}

export interface ColdLimitsOptions {
  clock: Clock;
  log: EventLog;
  metrics: Metrics;
  /** This host. */
  host: string;
  /** All hosts that may send requests, in the same order on every host. */
  readHosts: () => RequestingHost[];
  /** Null if the service's upstreams bear any load while cold. */
  findLimit: (service: string) => ColdLimit | null;
  evacuations: Pick<Evacuations, 'restoredAt'>;
}

interface SendingRecord {
  /** Times of the requests of the last second, on the monotonic clock. */
  sentAt: number[];
  /** The upstream may have crashed and started again, and is not listed as started yet. */
  suspectedUntil: number;
  /** Cold period that has been logged, by its end; on the monotonic clock. */
  loggedUntil: number;
  isLimitLogged: boolean;
}

interface Shares {
  epoch: number;
  hosts: RequestingHost[];
  byUpstream: Map<string, number>;
}

/**
 * Bounds what this host sends to cold upstreams: those that have just started, have turned cold, or
 * come back from an evacuation.
 *
 * An upstream crashes if it gets much more than it bears while cold, and all hosts together can send
 * that within milliseconds, since a fresh upstream has free slots. Each host keeps to its share of the
 * rate, also while it does not reach the other hosts or the store: its list of hosts then stays as it
 * was. A host that does not find itself in that list sends nothing to cold upstreams.
 */
const newColdLimits = (options: ColdLimitsOptions) => {
  const { clock, log, metrics, host, readHosts, findLimit, evacuations } = options;
  /** By upstream; removed with each incarnation. */
  const records = new Map<string, SendingRecord>();
  let shares: Shares = { epoch: -1, hosts: [], byUpstream: new Map() };

  const getOrCreate = ({ id }: UpstreamEntry): SendingRecord => {
    const known = records.get(id);
    if (known) return known;
    const created: SendingRecord = {
      sentAt: [],
      suspectedUntil: -Infinity,
      loggedUntil: -Infinity,
      isLimitLogged: false,
    };
    records.set(id, created);
    return created;
  };

  const readShares = (): Shares => {
    const epoch = Math.floor(clock.wallTime() / EPOCH_MS);
    if (epoch !== shares.epoch) shares = { epoch, hosts: readHosts(), byUpstream: new Map() };
    return shares;
  };

  const shareOf = (id: string, { requestsPerSecond }: ColdLimit): number => {
    const { hosts, byUpstream } = readShares();
    const known = byUpstream.get(id);
    if (known !== undefined) return known;
    const rate = Math.max(1, Math.floor(requestsPerSecond * USED_FRACTION));
    const share = shareRate(id, hosts, host, rate);
    byUpstream.set(id, share);
    return share;
  };

  /** When the upstream stops being cold, on the monotonic clock. */
  const coldUntil = (entry: UpstreamEntry, { coldMs }: ColdLimit): number => {
    const startedAt = clock.now() + entry.startedAt - clock.wallTime();
    return Math.max(
      entry.coldUntil,
      startedAt + coldMs,
      evacuations.restoredAt(entry.failureDomain) + coldMs,
      records.get(entry.id)?.suspectedUntil ?? -Infinity,
    );
  };

  const countSent = (record: SendingRecord): number => {
    record.sentAt = record.sentAt.filter((at) => at > clock.now() - WINDOW_MS);
    return record.sentAt.length;
  };

  const logCold = (entry: UpstreamEntry, record: SendingRecord, until: number): void => {
    if (clock.now() < record.loggedUntil) return;
    record.loggedUntil = until;
    record.isLimitLogged = false;
    log.info('upstream.cold', {
      upstream: entry.id,
      service: entry.service,
      failureDomain: entry.failureDomain,
      forMs: Math.round(until - clock.now()),
      share: shares.byUpstream.get(entry.id) ?? 0,
      hosts: shares.hosts.length,
    });
  };

  /** Requests that this host may send to the upstream now; infinite unless it is cold. */
  const remaining = (entry: UpstreamEntry): number => {
    const limit = findLimit(entry.service);
    if (!limit) return Number.POSITIVE_INFINITY;
    const until = coldUntil(entry, limit);
    if (clock.now() >= until) return Number.POSITIVE_INFINITY;
    const record = getOrCreate(entry);
    const left = shareOf(entry.id, limit) - countSent(record);
    logCold(entry, record, until);
    return Math.max(0, left);
  };

  const withhold = (entry: UpstreamEntry): void => {
    metrics.count('cold_upstream_requests_withheld');
    const record = getOrCreate(entry);
    if (record.isLimitLogged) return;
    record.isLimitLogged = true;
    log.info('upstream.cold-limit', { upstream: entry.id, sent: record.sentAt.length });
  };

  return {
    remaining,
    /** Counts a request that is about to be sent; @returns whether it may be sent. */
    start: (entry: UpstreamEntry): boolean => {
      if (!findLimit(entry.service)) return true;
      const left = remaining(entry);
      if (left === 0) {
        withhold(entry);
        return false;
      }
      if (Number.isFinite(left)) metrics.count('cold_upstream_requests');
      const record = getOrCreate(entry);
      countSent(record);
      record.sentAt.push(clock.now());
      return true;
    },
    /** Treats an upstream whose process has ended as cold until its successor is listed. */
    suspectRestart: (entry: UpstreamEntry): void => {
      const limit = findLimit(entry.service);
      if (limit) getOrCreate(entry).suspectedUntil = clock.now() + limit.coldMs + RELISTING_MS;
    },
    remove: (entry: UpstreamEntry): void => {
      records.delete(entry.id);
    },
    /** Whether an upstream is cold. */
    isCold: (entry: UpstreamEntry): boolean => {
      const limit = findLimit(entry.service);
      return limit !== null && clock.now() < coldUntil(entry, limit);
    },
  };
};

export type ColdLimits = ReturnType<typeof newColdLimits>;

export default newColdLimits;
