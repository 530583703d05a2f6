import type Clock from '@cyclamengate/common/Clock';
import type { Log } from '@cyclamengate/common/newLogger';
import type { Metrics } from '@cyclamengate/common/newMetrics';
import type { Follower } from '@cyclamengate/coordination/newFollower';
import { isStillHeld } from '@cyclamengate/coordination/newLease';
import type { Lease } from '@cyclamengate/coordination/newLease';
import type { UpstreamStatus } from '@cyclamengate/platform/upstreamStatus';
import type { EffectiveSettings } from '@cyclamengate/settings/newEffectiveSettings';
import type { EngineStatus } from '@cyclamengate/upstreams/engineStatus';
import type ModelEngine from '@cyclamengate/upstreams/ModelEngine';
import { WEIGHT_ORDER_TIMEOUT_MS } from '@cyclamengate/upstreams/newHttpModelEngine';

/** Interval of polling the engines while some of them lack the newest weights. */
const BEHIND_CHECK_INTERVAL_MS = 500;
/** Interval of polling the engines while all of them have the newest weights. */
const CHECK_INTERVAL_MS = 2_000;
/** Lease time that must remain beyond the timeout of an order. */
const MIN_REMAINING_LEASE_MS = 250;
/** Fraction of a service's engines in a failure domain that may load weights concurrently. */
const MAX_LOADING_FRACTION = 0.5;

export interface WeightRolloutOptions {
  clock: Clock;
  log: Log;
  metrics: Metrics;
  follower: Follower;
  readSettings: () => EffectiveSettings;
  /** Current upstreams of the lease's failure domain. */
  readUpstreams: () => UpstreamStatus[];
  engine: ModelEngine;
  lease: Lease;
}

interface PolledEngine {
  upstream: UpstreamStatus;
  status: EngineStatus;
}

/**
 * Rolls out each trainer's newest weights to the engines of one failure domain, while this process
 * holds the domain's lease.
 *
 * A weight swap can fail midway, the answer to an order can be lost, and an engine can fail or
 * restart with older weights. Therefore no state is kept about engines: each round polls the active
 * versions of every engine and orders missing weights as absolute versions. Only a fraction of the
 * engines load weights concurrently, so that the others keep serving and the weight store is not
 * overloaded.
 */
const rolloutWeights = async (
  options: WeightRolloutOptions,
  signal: AbortSignal,
): Promise<void> => {
  const { clock, log, metrics, follower, readSettings, readUpstreams, engine, lease } = options;

  let notifyPublished = (): void => undefined;

  const pollEngines = async (service: string): Promise<PolledEngine[]> => {
    const liveUpstreams = readUpstreams().filter(
      (upstream) => upstream.service === service && upstream.state === 'live',
    );
    const polled = await Promise.all(
      liveUpstreams.map(async (upstream) => ({
        upstream,
        status: await engine.readStatus(upstream.url),
      })),
    );
    return polled.flatMap(({ upstream, status }) =>
      status.ok && !status.val.isLeaving ? [{ upstream, status: status.val }] : [],
    );
  };

  const order = async (
    { upstream }: PolledEngine,
    trainer: string,
    version: number,
  ): Promise<void> => {
    // Engines that ignore the fencing token accept orders from any sender. So the lease is checked
    // in the tick in which the order is written, and must outlast the order's timeout.
    const held = lease.holdFor(WEIGHT_ORDER_TIMEOUT_MS + MIN_REMAINING_LEASE_MS);
    if (!held) return;
    const wanted = { trainer, version, fence: held.fence };
    const accepted = await engine.orderWeights(upstream.url, wanted, () =>
      isStillHeld(lease, held, MIN_REMAINING_LEASE_MS),
    );
    metrics.count(accepted.ok ? 'weight_orders_taken' : 'weight_orders_failed');
    log.info({
      event: 'weight-order',
      upstream: upstream.id,
      trainer,
      version,
      outcome: accepted.ok ? 'taken' : accepted.val,
    });
  };

  /** @returns whether some engine did not have the trainer's version yet */
  const orderMissing = async (
    trainer: string,
    version: number,
    polled: PolledEngine[],
    loadingIds: Set<string>,
  ): Promise<boolean> => {
    const outdated = polled.filter(({ status }) => status.versions[trainer] !== version);
    const orderable = outdated.filter(({ upstream }) => !loadingIds.has(upstream.id));
    const loading = polled.filter(({ upstream }) => loadingIds.has(upstream.id)).length;
    const maxNewLoads = Math.max(1, Math.floor(polled.length * MAX_LOADING_FRACTION)) - loading;
    const chosen = orderable.slice(0, Math.max(0, maxNewLoads));
    chosen.forEach(({ upstream }) => loadingIds.add(upstream.id));
    await Promise.all(chosen.map((one) => order(one, trainer, version)));
    return outdated.length > 0;
  };

  /** Polls all engines once and orders missing weights. @returns whether some engine is behind */
  const runRound = async (): Promise<boolean> => {
    const trainers = [...readSettings().trainers.values()];
    const polledByService = new Map<string, PolledEngine[]>();
    // Engines that are loading weights or were ordered to in this round, for any trainer.
    const loadingIds = new Set<string>();
    let isBehind = false;
    for (const { id, service } of trainers) {
      const version = follower.state().trainers[id]?.version ?? 0;
      const polled =
        version > 0 ? (polledByService.get(service) ?? (await pollEngines(service))) : [];
      polledByService.set(service, polled);
      polled
        .filter(({ status }) => Object.keys(status.loading).length > 0)
        .forEach(({ upstream }) => loadingIds.add(upstream.id));
      if (await orderMissing(id, version, polled, loadingIds)) isBehind = true;
    }
    return isBehind;
  };

  /** Resolves at the deadline, or as soon as a trainer publishes weights. */
  const waitForNext = async (deadline: number): Promise<void> => {
    const published = new AbortController();
    notifyPublished = () => published.abort();
    await clock.sleepUntil(deadline, AbortSignal.any([signal, published.signal]));
  };

  follower.onFolded(({ record }) => {
    if (record.type === 'weights-published') notifyPublished();
  });

  while (!signal.aborted) {
    const startedAt = clock.now();
    const isBehind = lease.holdFor(0) ? await runRound() : false;
    await waitForNext(startedAt + (isBehind ? BEHIND_CHECK_INTERVAL_MS : CHECK_INTERVAL_MS));
  }
};

export default rolloutWeights;
