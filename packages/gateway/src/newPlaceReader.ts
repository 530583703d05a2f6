import type Clock from '@cyclamengate/common/Clock';
import { describeHomes } from '@cyclamengate/common/homes';
import type { Homes } from '@cyclamengate/common/homes';
import newSlidingMaximum from '@cyclamengate/engines/newSlidingMaximum';
import type { SlidingMaximum } from '@cyclamengate/engines/newSlidingMaximum';
import type { Loads } from '@cyclamengate/engines/newLoads';
import type { UpstreamEntry } from '@cyclamengate/engines/upstreamEntry';
import findUsableUpstreams from './findUsableUpstreams.js';
import type { CandidateOptions } from './newCandidates.js';
import newTimedCache from './newTimedCache.js';

/** The relay reads the list itself; a stale one here only misjudges the number of places. */
const LIST_TTL_MS = 50;
/** Loads change with each request; this bounds how often all of them are added up. */
const COUNT_TTL_MS = 2;
/** Some times as long as a lookup, so that the next ones find what these needed. */
const PEAK_WINDOW_MS = 200;
/** Standard deviations of other hosts' load that a caller is given the benefit of. */
const UNCERTAINTY = 2;

/** Places at the usable upstreams of a service. */
export interface PlaceCount {
  total: number;
  /** Places that may be free. */
  free: number;
  /** Places that are free by all that is known. */
  certainlyFree: number;
  /** Free places beyond the reserve of each upstream. */
  spare: number;
  /** Age of the newest load report; null if there is none. */
  reportAgeMs: number | null;
}

export interface PlaceReaderOptions extends Pick<
  CandidateOptions,
  'regions' | 'directory' | 'evacuations' | 'coldLimits'
> {
  clock: Clock;
  /** Fraction of each upstream's slots that counts as its reserve. */
  reservedPart: number;
  health: Pick<CandidateOptions['health'], 'isBackedOff'>;
  loads: Pick<Loads, 'countLocal' | 'estimateNow' | 'reportAgeMs'>;
}

/** Counts the places of services by the loads of their upstreams, as far as this host knows them. */
const newPlaceReader = (options: PlaceReaderOptions) => {
  const { clock, coldLimits, health, loads } = options;
  const { reservedPart } = options;
  const homesByPool = new Map<string, Homes>();
  const lists = newTimedCache<UpstreamEntry[]>(clock, LIST_TTL_MS);
  const peaks = new Map<string, SlidingMaximum>();
  const counts = newTimedCache<PlaceCount>(clock, COUNT_TTL_MS);

  const list = (service: string, pool: string): UpstreamEntry[] =>
    lists.getOrCompute(`${service}\n${pool}`, () =>
      findUsableUpstreams(options, service, homesByPool.get(pool) ?? null),
    );

  const isStartable = (entry: UpstreamEntry): boolean => coldLimits.remaining(entry) > 0;

  /**
   * What other hosts run has changed since they said so, by about the root of their number. A place is
   * free for a caller while it may be: a request that waits here though there is a place loses more
   * than one that waits at its upstream.
   */
  const countFree = ({ id, slots }: UpstreamEntry): number => {
    const own = loads.countLocal(id);
    const others = Math.max(0, loads.estimateNow(id) - own);
    return Math.max(0, slots - own - Math.max(0, others - UNCERTAINTY * Math.sqrt(others)));
  };

  const countCertainlyFree = ({ id, slots }: UpstreamEntry): number =>
    Math.max(0, slots - loads.estimateNow(id));

  /**
   * Other hosts choose an upstream by older reports, so each upstream has to keep a place for them
   * beyond what they lately ran there; those with few slots have none to keep.
   */
  const countSpare = ({ id, slots }: UpstreamEntry): number => {
    const own = loads.countLocal(id);
    const peak = peaks.get(id) ?? newSlidingMaximum(clock, PEAK_WINDOW_MS);
    peaks.set(id, peak);
    peak.add(loads.estimateNow(id) - own);
    return Math.max(0, slots - own - peak.read() - Math.round(slots * reservedPart));
  };

  /** Upstreams in back-off count only if there are no others, as they are chosen. */
  const listUsable = (service: string, pool: string): UpstreamEntry[] => {
    const startable = list(service, pool).filter(isStartable);
    const available = startable.filter(({ id }) => !health.isBackedOff(id));
    return available.length > 0 ? available : startable;
  };

  const compute = (service: string, pool: string): PlaceCount => {
    const usable = listUsable(service, pool);
    const ages = usable.flatMap(({ id }) => loads.reportAgeMs(id) ?? []);
    return {
      total: usable.reduce((sum, { slots }) => sum + slots, 0),
      free: usable.reduce((sum, entry) => sum + countFree(entry), 0),
      certainlyFree: usable.reduce((sum, entry) => sum + countCertainlyFree(entry), 0),
      spare: usable.reduce((sum, entry) => sum + countSpare(entry), 0),
      reportAgeMs: ages.length > 0 ? Math.min(...ages) : null,
    };
  };

  const count = (service: string, pool: string): PlaceCount =>
    counts.getOrCompute(`${service}\n${pool}`, () => compute(service, pool));

  return {
    /** The name of the upstreams that work with these homes may use. */
    poolOf: (homes: Homes): string => {
      const pool = describeHomes(homes);
      if (!homesByPool.has(pool)) homesByPool.set(pool, homes);
      return pool;
    },
    /** Whether the best upstream has a free place; ends at the first one found. */
    hasFree: (service: string, pool: string): boolean =>
      list(service, pool).some(
        (entry) => countFree(entry) >= 1 && !health.isBackedOff(entry.id) && isStartable(entry),
      ) || count(service, pool).free >= 1,
    count,
    /** The upstreams that have no place beyond their reserve. */
    listCrowded: (service: string, pool: string): ReadonlySet<string> =>
      new Set(
        list(service, pool)
          .filter((entry) => countSpare(entry) === 0)
          .map(({ id }) => id),
      ),
    /** Forgets an upstream that is no longer listed. */
    remove: (id: string): void => {
      peaks.delete(id);
    },
    /** Called when this host starts or ends a request. */
    invalidate: (): void => counts.clear(),
  };
};

export type PlaceReader = ReturnType<typeof newPlaceReader>;

export default newPlaceReader;
