import type Clock from '@cyclamengate/common/Clock';
import type { UpstreamStatus } from '@cyclamengate/platform/upstreamStatus';
import type { EffectiveSettings } from '@cyclamengate/settings/newEffectiveSettings';
import type { EngineStatus } from './engineStatus.js';
import type { Upstream } from './upstream.js';

const FAILURES_TO_OPEN = 3;
const SHORTEST_OPEN_MS = 1_000;
const LONGEST_OPEN_MS = 30_000;

const newUpstream = (status: UpstreamStatus, slots: number): Upstream => ({
  status,
  reportedActive: 0,
  slots,
  inFlight: 0,
  begunSinceReport: 0,
  failures: 0,
  breakerOpenUntil: -Infinity,
  isListed: true,
  isLeaving: false,
  versions: {},
});

/**
 * The upstreams this host knows: what the platform lists, what they report of their load, and what
 * this host has seen of them itself.
 */
const newUpstreamDirectory = (clock: Clock, readSettings: () => EffectiveSettings) => {
  const upstreams = new Map<string, Upstream>();

  const slotsOf = (service: string): number =>
    readSettings().services.get(service)?.slotsPerUpstream ?? 1;

  /** Takes the platform's list. One missing from it has gone, or comes back with a later list. */
  const list = (listed: readonly UpstreamStatus[]): void => {
    const ids = new Set(listed.map(({ id }) => id));
    listed.forEach((status) => {
      const known = upstreams.get(status.id);
      if (known) known.status = status;
      else upstreams.set(status.id, newUpstream(status, slotsOf(status.service)));
    });
    upstreams.forEach((upstream, id) => {
      upstream.isListed = ids.has(id);
      if (!upstream.isListed && upstream.inFlight === 0) upstreams.delete(id);
    });
  };

  const report = (id: string, status: EngineStatus): void => {
    const upstream = upstreams.get(id);
    if (!upstream) return;
    upstream.reportedActive = status.active;
    upstream.slots = status.slots;
    upstream.begunSinceReport = 0;
    upstream.versions = status.versions;
    // The list, the upstream itself or the settings may be first to say that it leaves; whichever
    // it is, the word of the others, which lag, does not bring it back.
    upstream.isLeaving ||= status.isLeaving;
  };

  const isConfigured = ({ service, failureDomain, kind }: UpstreamStatus): boolean =>
    readSettings()
      .services.get(service)
      ?.pools.some(
        (pool) =>
          pool.failureDomain === failureDomain && pool.kind === kind && pool.maxUpstreams > 0,
      ) ?? false;

  const isUsable = (upstream: Upstream): boolean =>
    upstream.isListed &&
    upstream.status.state === 'live' &&
    !upstream.isLeaving &&
    !upstream.status.reclaimed &&
    upstream.breakerOpenUntil <= clock.now() &&
    isConfigured(upstream.status);

  const succeed = (upstream: Upstream): void => {
    upstream.failures = 0;
    upstream.breakerOpenUntil = -Infinity;
  };

  /** Opens the breaker after some failures in a row, longer each time. */
  const fail = (upstream: Upstream): void => {
    upstream.failures += 1;
    const excess = upstream.failures - FAILURES_TO_OPEN;
    if (excess < 0) return;
    const openMs = Math.min(LONGEST_OPEN_MS, SHORTEST_OPEN_MS * 2 ** excess);
    upstream.breakerOpenUntil = clock.now() + openMs;
  };

  return {
    list,
    report,
    succeed,
    fail,
    all: (): Upstream[] => [...upstreams.values()],
    usable: (service: string): Upstream[] =>
      [...upstreams.values()].filter(
        (upstream) => upstream.status.service === service && isUsable(upstream),
      ),
    begin: (upstream: Upstream): void => {
      upstream.inFlight += 1;
      upstream.begunSinceReport += 1;
    },
    end: (upstream: Upstream): void => {
      upstream.inFlight -= 1;
    },
  };
};

export type UpstreamDirectory = ReturnType<typeof newUpstreamDirectory>;

export default newUpstreamDirectory;
