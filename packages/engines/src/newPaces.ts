import type Clock from '@cyclamengate/common/Clock';
import computeLastingPaces, { MIN_SAMPLES } from './computeLastingPaces.js';
import type { PaceSample } from './computeLastingPaces.js';
import newKindTimes from './newKindTimes.js';
import type { Loads } from './newLoads.js';
import { isSameIncarnation } from './upstreamEntry.js';
import type { UpstreamEntry } from './upstreamEntry.js';

/** A neighbour's noise ends after about this time. */
const REPORT_TTL_MS = 500;
/**
 * Together more than twice as long as a neighbour's noise, so that noise never makes up half of the
 * samples; streams alone would fill them within a tenth of a second.
 */
const SAMPLE_INTERVAL_MS = 100;
const MAX_SAMPLES = 15;
/** A slow upstream that gets no requests is tried again after this time. */
const RETRY_SLOW_MS = 8_000;
/** Slower ones are shared; what is nearer to its peers would only make heartbeats grow. */
const MIN_SHARED_SLOW_PACE = 1.4;
/** Other hosts may rely on a slow pace for this long without new samples. */
const SHARE_SLOW_MS = 30_000;
/** Among fewer measured upstreams it can't be told which of them is unusual. */
const MIN_PEERS_TO_SHARE = 3;
/** Paces are computed at most this often, since they are read for each request. */
const REFRESH_MS = 200;

interface MeasuredUpstream {
  entry: UpstreamEntry;
  samples: PaceSample[];
  sampledAt: number;
  /** Its pace before it is tried again; null unless its new samples are still too few. */
  retriedPace: number | null;
}

interface MeasuredService {
  upstreams: Map<string, MeasuredUpstream>;
  lastingPaces: Map<string, number>;
  /** When samples that came since may be used; infinite while there are none. */
  refreshAt: number;
  refreshedAt: number;
}

/** How long work takes at an upstream, relative to the other upstreams of its service. */
export interface UpstreamPace {
  /** At this moment. */
  pace: number;
  /** Without what the upstream says of this moment. */
  lastingPace: number;
}

export interface PacesOptions {
  clock: Clock;
  loads: Pick<Loads, 'newestReport'>;
  /** Whether an incarnation of an upstream is listed; requests end after its removal. */
  isListed: (entry: UpstreamEntry) => boolean;
}

/**
 * Measures the pace of upstreams.
 *
 * An upstream has a lasting pace, which this host measures by the times of its requests, and a
 * momentary one, which the upstream reports and which is soon out of date. Calls that waited at the
 * upstream tell of its queue and not of its pace.
 */
const newPaces = ({ clock, loads, isListed }: PacesOptions) => {
  const services = new Map<string, MeasuredService>();
  const kindTimes = newKindTimes(clock);
  let readSharedPaces = (): ReadonlyMap<string, number> => new Map();

  const readSharedPace = (id: string): number => readSharedPaces().get(id) ?? 1;

  /** The reported pace; its weight shrinks with its age, as noise has then likely ended. */
  const momentaryPace = (id: string): number => {
    const report = loads.newestReport(id);
    if (!report || report.load.pace === null) return 1;
    const age = clock.now() - report.reportedAt;
    if (age >= REPORT_TTL_MS) return 1;
    return 1 + (report.load.pace - 1) * (1 - age / REPORT_TTL_MS);
  };

  const getOrCreateService = (name: string): MeasuredService => {
    const known = services.get(name);
    if (known) return known;
    const created: MeasuredService = {
      upstreams: new Map(),
      lastingPaces: new Map(),
      refreshAt: Infinity,
      refreshedAt: -Infinity,
    };
    services.set(name, created);
    return created;
  };

  const getOrCreateUpstream = (service: MeasuredService, entry: UpstreamEntry) => {
    const known = service.upstreams.get(entry.id);
    if (known && isSameIncarnation(known.entry, entry)) return known;
    const created: MeasuredUpstream = {
      entry,
      samples: [],
      sampledAt: -Infinity,
      retriedPace: null,
    };
    service.upstreams.set(entry.id, created);
    return created;
  };

  const readLastingPaces = (service: MeasuredService): ReadonlyMap<string, number> => {
    const { refreshAt, lastingPaces } = service;
    if (refreshAt === Infinity || clock.now() < refreshAt) return lastingPaces;
    service.lastingPaces = computeLastingPaces(
      new Map([...service.upstreams].map(([id, { samples }]) => [id, samples])),
      readSharedPace,
    );
    service.refreshedAt = clock.now();
    service.refreshAt = Infinity;
    return service.lastingPaces;
  };

  const wasSampledWithin = (
    { upstreams }: MeasuredService,
    id: string,
    withinMs: number,
  ): boolean => clock.now() < (upstreams.get(id)?.sampledAt ?? -Infinity) + withinMs;

  const isRetried = ({ upstreams }: MeasuredService, id: string): boolean =>
    (upstreams.get(id)?.retriedPace ?? null) !== null;

  /** Null where this host has measured too little itself. */
  const measuredPace = ({ id, service: name }: UpstreamEntry): number | null => {
    const service = services.get(name);
    const pace = service && readLastingPaces(service).get(id);
    if (!service) return null;
    if (pace === undefined) return isRetried(service, id) ? 1 : null;
    return pace > 1 && !wasSampledWithin(service, id, RETRY_SLOW_MS) ? 1 : pace;
  };

  const describe = (entry: UpstreamEntry): UpstreamPace => {
    const lastingPace = measuredPace(entry) ?? readSharedPace(entry.id);
    return { lastingPace, pace: lastingPace * momentaryPace(entry.id) };
  };

  const scopeOf = ({ service }: UpstreamEntry, kind: string): string => `${service} ${kind}`;

  const sample = (entry: UpstreamEntry, kind: string, durationMs: number): void => {
    const service = getOrCreateService(entry.service);
    if (wasSampledWithin(service, entry.id, SAMPLE_INTERVAL_MS) || !isListed(entry)) return;
    const upstream = getOrCreateUpstream(service, entry);
    const silentMs = clock.now() - upstream.sampledAt;
    // A slow upstream is tried again, and what made it slow may be over.
    if (silentMs >= RETRY_SLOW_MS) {
      const pace = readLastingPaces(service).get(entry.id) ?? 1;
      if (pace > 1) {
        upstream.samples = [];
        upstream.retriedPace = pace;
      }
    }
    const newest = { kind, durationMs: durationMs / momentaryPace(entry.id) };
    upstream.samples = [...upstream.samples, newest].slice(-MAX_SAMPLES);
    upstream.sampledAt = clock.now();
    if (upstream.samples.length >= MIN_SAMPLES) upstream.retriedPace = null;
    if (service.refreshAt === Infinity) service.refreshAt = service.refreshedAt + REFRESH_MS;
  };

  /** Upstreams that other hosts should know of, with their paces. */
  const listUnusual = (): [string, number][] =>
    [...services.values()].flatMap((service) => {
      const lastingPaces = readLastingPaces(service);
      const known = [...service.upstreams].flatMap(([id, { retriedPace }]): [string, number][] => {
        const pace = lastingPaces.get(id) ?? retriedPace;
        return pace === null ? [] : [[id, pace]];
      });
      if (known.length < MIN_PEERS_TO_SHARE) return [];
      return known.filter(
        ([id, pace]) =>
          pace < 1 ||
          (pace >= MIN_SHARED_SLOW_PACE && wasSampledWithin(service, id, SHARE_SLOW_MS)),
      );
    });

  return {
    describe,
    /**
     * @param kind units of one kind take the same time on upstreams of equal pace
     * @param durationMs time of one unit of work: one event of a stream, or a complete plain call
     * @param isQueued whether it may have waited for a slot of the upstream
     */
    record: (entry: UpstreamEntry, kind: string, durationMs: number, isQueued = false): void => {
      kindTimes.record(scopeOf(entry, kind), durationMs);
      if (!isQueued) sample(entry, kind, durationMs);
    },
    /** Time that a unit of work is likely to take at the upstream now; null while unknown. */
    expectedMs: (entry: UpstreamEntry, kind: string): number | null => {
      const usualMs = kindTimes.usualMs(scopeOf(entry, kind));
      return usualMs === null ? null : usualMs * describe(entry).pace;
    },
    /** For this host's heartbeat: upstreams clearly faster or slower than their peers. */
    unusual: (): Record<string, number> =>
      Object.fromEntries(listUnusual().map(([id, pace]) => [id, Math.round(pace * 10) / 10])),
    /** @param read paces on which all hosts agree, by upstream; 1 where there is none */
    setSharedPaces: (read: () => ReadonlyMap<string, number>): void => {
      readSharedPaces = read;
    },
    countSlow: (): number => listUnusual().filter(([, pace]) => pace > 1).length,
    countFast: (): number => listUnusual().filter(([, pace]) => pace < 1).length,
    remove: ({ id, service }: UpstreamEntry): void => {
      services.get(service)?.upstreams.delete(id);
      services.get(service)?.lastingPaces.delete(id);
    },
  };
};

export type Paces = ReturnType<typeof newPaces>;

export default newPaces;
