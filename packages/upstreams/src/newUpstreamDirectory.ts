import type Clock from '@cyclamengate/common/Clock';
import type { UpstreamStatus } from '@cyclamengate/platform/upstreamStatus';
import type { EffectiveSettings } from '@cyclamengate/settings/newEffectiveSettings';
import type { EngineStatus } from './engineStatus.js';
import type { Upstream } from './upstream.js';

const FAILURES_TO_OPEN_BREAKER = 3;
const MIN_BREAKER_OPEN_MS = 1_000;
const MAX_BREAKER_OPEN_MS = 30_000;

const newUpstream = (status: UpstreamStatus, slots: number): Upstream => ({
  status,
  reportedActive: 0,
  slots,
  inFlight: 0,
  startedSinceReport: 0,
  failures: 0,
  breakerOpenUntil: -Infinity,
  isListed: true,
  isLeaving: false,
  versions: {},
});

/**
 * The upstreams known to this host, with the platform's listing, the load they report and the
 * failures observed by this host.
 */
const newUpstreamDirectory = (
  clock: Clock,
  readSettings: () => EffectiveSettings,
  isEvacuated: (failureDomain: string) => boolean = () => false,
) => {
  const upstreams = new Map<string, Upstream>();

  const readSlots = (service: string): number =>
    readSettings().services.get(service)?.slotsPerUpstream ?? 1;

  /**
   * Applies the platform's list. An upstream missing from it is unusable until a later list has it.
   */
  const applyListing = (listed: readonly UpstreamStatus[]): void => {
    const ids = new Set(listed.map(({ id }) => id));
    listed.forEach((status) => {
      const existing = upstreams.get(status.id);
      if (existing) existing.status = status;
      else upstreams.set(status.id, newUpstream(status, readSlots(status.service)));
    });
    upstreams.forEach((upstream, id) => {
      upstream.isListed = ids.has(id);
      if (!upstream.isListed && upstream.inFlight === 0) upstreams.delete(id);
    });
  };

  const applyStatus = (id: string, status: EngineStatus): void => {
    const upstream = upstreams.get(id);
    if (!upstream) return;
    upstream.reportedActive = status.active;
    upstream.slots = status.slots;
    upstream.startedSinceReport = 0;
    upstream.versions = status.versions;
    // The list, the upstream or the settings may be the first to show that it is leaving. The other
    // sources lag, so none of them may reset this.
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
    !isEvacuated(upstream.status.failureDomain) &&
    upstream.breakerOpenUntil <= clock.now() &&
    isConfigured(upstream.status);

  const recordSuccess = (upstream: Upstream): void => {
    upstream.failures = 0;
    upstream.breakerOpenUntil = -Infinity;
  };

  /** Opens the circuit breaker after several consecutive failures, each time for twice as long. */
  const recordFailure = (upstream: Upstream): void => {
    upstream.failures += 1;
    const excess = upstream.failures - FAILURES_TO_OPEN_BREAKER;
    if (excess < 0) return;
    const openMs = Math.min(MAX_BREAKER_OPEN_MS, MIN_BREAKER_OPEN_MS * 2 ** excess);
    upstream.breakerOpenUntil = clock.now() + openMs;
  };

  return {
    applyListing,
    applyStatus,
    recordSuccess,
    recordFailure,
    all: (): Upstream[] => [...upstreams.values()],
    usable: (service: string): Upstream[] =>
      [...upstreams.values()].filter(
        (upstream) => upstream.status.service === service && isUsable(upstream),
      ),
    recordStart: (upstream: Upstream): void => {
      upstream.inFlight += 1;
      upstream.startedSinceReport += 1;
    },
    recordEnd: (upstream: Upstream): void => {
      upstream.inFlight -= 1;
    },
  };
};

export type UpstreamDirectory = ReturnType<typeof newUpstreamDirectory>;

export default newUpstreamDirectory;
