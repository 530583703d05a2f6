import type Clock from '@cyclamengate/common/Clock';
import type { Log } from '@cyclamengate/common/newLogger';
import type { Metrics } from '@cyclamengate/common/newMetrics';
import type { Follower } from '@cyclamengate/coordination/newFollower';
import { isSameHold } from '@cyclamengate/coordination/newLease';
import type { Lease } from '@cyclamengate/coordination/newLease';
import type { UpstreamStatus } from '@cyclamengate/platform/upstreamStatus';
import type { EffectiveSettings } from '@cyclamengate/settings/newEffectiveSettings';
import type { EngineStatus } from '@cyclamengate/upstreams/engineStatus';
import type ModelEngine from '@cyclamengate/upstreams/ModelEngine';
import { WEIGHT_ORDER_TIMEOUT_MS } from '@cyclamengate/upstreams/newHttpModelEngine';

/** Engines are read back this often while some are behind … */
const CHECK_BEHIND_MS = 500;
/** … and this often while all are where they should be. */
const CHECK_EVERY_MS = 2_000;
/** Lease that must be left beyond an order's timeout. */
const LEASE_RESERVE_MS = 250;
/** Part of a service's engines in a failure domain that may be loading at once. */
const LOADING_PART = 0.5;

export interface WeightRolloutOptions {
  clock: Clock;
  log: Log;
  metrics: Metrics;
  follower: Follower;
  readSettings: () => EffectiveSettings;
  /** Upstreams that this lease's failure domain has now. */
  readUpstreams: () => UpstreamStatus[];
  engine: ModelEngine;
  lease: Lease;
}

interface Seen {
  upstream: UpstreamStatus;
  status: EngineStatus;
}

/**
 * Brings each trainer's newest weights onto the engines of one failure domain, while this process
 * holds the domain's lease.
 *
 * A swap can fail half way, an order's answer can be lost, an engine can die or restart with older
 * weights. So nothing is remembered about engines: each round reads back what every engine says is
 * in force and orders, as an absolute version, whatever is missing. Never more than a part of the
 * engines load at once, so the others go on serving and the weight store is not overrun.
 */
const rolloutWeights = async (
  options: WeightRolloutOptions,
  signal: AbortSignal,
): Promise<void> => {
  const { clock, log, metrics, follower, readSettings, readUpstreams, engine, lease } = options;

  let wake = (): void => undefined;

  const look = async (service: string): Promise<Seen[]> => {
    const live = readUpstreams().filter(
      (upstream) => upstream.service === service && upstream.state === 'live',
    );
    const seen = await Promise.all(
      live.map(async (upstream) => ({ upstream, status: await engine.readStatus(upstream.url) })),
    );
    return seen.flatMap(({ upstream, status }) =>
      status.ok && !status.val.isLeaving ? [{ upstream, status: status.val }] : [],
    );
  };

  const order = async ({ upstream }: Seen, trainer: string, version: number): Promise<void> => {
    // Engines that ignore the fencing number take an order from anybody. The lease is looked at in
    // the tick in which the order is written, and outlasts the order's timeout.
    const held = lease.holdFor(WEIGHT_ORDER_TIMEOUT_MS + LEASE_RESERVE_MS);
    if (!held) return;
    const wanted = { trainer, version, fence: held.fence };
    const taken = await engine.orderWeights(upstream.url, wanted, () =>
      isSameHold(lease, held, LEASE_RESERVE_MS),
    );
    metrics.count(taken.ok ? 'weight_orders_taken' : 'weight_orders_failed');
    log.info({
      event: 'weight-order',
      upstream: upstream.id,
      trainer,
      version,
      outcome: taken.ok ? 'taken' : taken.val,
    });
  };

  /** @returns whether some engine is still not at the trainer's version */
  const bringUp = async (
    trainer: string,
    version: number,
    seen: Seen[],
    busy: Set<string>,
  ): Promise<boolean> => {
    const missing = seen.filter(({ status }) => status.versions[trainer] !== version);
    const behind = missing.filter(({ upstream }) => !busy.has(upstream.id));
    const loading = seen.filter(({ upstream }) => busy.has(upstream.id)).length;
    const room = Math.max(1, Math.floor(seen.length * LOADING_PART)) - loading;
    const chosen = behind.slice(0, Math.max(0, room));
    chosen.forEach(({ upstream }) => busy.add(upstream.id));
    await Promise.all(chosen.map((one) => order(one, trainer, version)));
    return missing.length > 0;
  };

  /** Goes through all engines once. @returns whether some engine is behind */
  const runRound = async (): Promise<boolean> => {
    const trainers = [...readSettings().trainers.values()];
    const seenByService = new Map<string, Seen[]>();
    // Engines that load already, or were ordered to for another trainer of this round.
    const busy = new Set<string>();
    let isBehind = false;
    for (const { id, service } of trainers) {
      const version = follower.state().trainers[id]?.version ?? 0;
      const seen = version > 0 ? (seenByService.get(service) ?? (await look(service))) : [];
      seenByService.set(service, seen);
      seen
        .filter(({ status }) => Object.keys(status.loading).length > 0)
        .forEach(({ upstream }) => busy.add(upstream.id));
      if (await bringUp(id, version, seen, busy)) isBehind = true;
    }
    return isBehind;
  };

  /** Resolves at the deadline, or as soon as a trainer publishes. */
  const waitForNext = async (deadline: number): Promise<void> => {
    const published = new AbortController();
    wake = () => published.abort();
    await clock.sleepUntil(deadline, AbortSignal.any([signal, published.signal]));
  };

  follower.onFolded(({ record }) => {
    if (record.type === 'weights-published') wake();
  });

  while (!signal.aborted) {
    const startedAt = clock.now();
    const isBehind = lease.holdFor(0) ? await runRound() : false;
    await waitForNext(startedAt + (isBehind ? CHECK_BEHIND_MS : CHECK_EVERY_MS));
  }
};

export default rolloutWeights;
