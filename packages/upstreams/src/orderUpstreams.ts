import type Clock from '@cyclamengate/common/Clock';
import type { Log } from '@cyclamengate/common/newLogger';
import { isStillHeld } from '@cyclamengate/coordination/newLease';
import type { Lease } from '@cyclamengate/coordination/newLease';
import type { LogWriter } from '@cyclamengate/coordination/newLogWriter';
import { ORDER_TIMEOUT_MS } from '@cyclamengate/platform/newHttpUpstreamOrders';
import type UpstreamOrders from '@cyclamengate/platform/UpstreamOrders';
import type { UpstreamStatus } from '@cyclamengate/platform/upstreamStatus';
import type { EffectiveSettings } from '@cyclamengate/settings/newEffectiveSettings';
import { poolSettingsSchema, serviceSettingsSchema } from '@cyclamengate/settings/serviceSettings';
import type { PoolSettings, ServiceSettings } from '@cyclamengate/settings/serviceSettings';
import choosePoolSizes from './choosePoolSizes.js';

const CHECK_INTERVAL_MS = 1_000;
/** Lease time that must remain beyond the timeout of an order. */
const MIN_REMAINING_LEASE_MS = 250;
const AUDIT_NOTE_TIMEOUT_MS = 10_000;
/** Time for which fewer upstreams must have sufficed before the number is reduced. */
const SHRINK_DELAY_MS = 30_000;
/** Time for which a pool is avoided after the platform reclaimed an upstream of it. */
const AVOID_RECLAIMED_MS = 60_000;
/** Time for which a pool is avoided after the platform could not provide all its upstreams. */
const AVOID_UNAVAILABLE_MS = 15_000;

export interface OrderUpstreamsOptions {
  clock: Clock;
  log: Log;
  failureDomain: string;
  /** While its domain is evacuated, upstreams are neither started nor stopped there. */
  isEvacuated: () => boolean;
  readSettings: () => EffectiveSettings;
  /** Running and queued requests of a service over all hosts. */
  readDemand: (service: string) => number;
  orders: UpstreamOrders;
  writer: LogWriter;
  lease: Lease;
  /** Called with the upstreams that the platform runs, each time they were read. */
  onUpstreams: (upstreams: UpstreamStatus[]) => void;
}

const poolKey = (
  service: string,
  { failureDomain, kind }: Pick<PoolSettings, 'failureDomain' | 'kind'>,
): string => `${service} ${failureDomain} ${kind}`;

/**
 * Orders the upstreams of one failure domain by demand, while this process holds its lease.
 *
 * The answer to an order can be lost after the order took effect. Orders therefore state the wanted
 * number, not a difference, and each round starts from the upstreams that the platform reports. So
 * neither a retry nor a successor without prior state starts additional upstreams for one order.
 */
const orderUpstreams = async (
  options: OrderUpstreamsOptions,
  signal: AbortSignal,
): Promise<void> => {
  const { clock, log, failureDomain, readSettings, readDemand } = options;
  const { orders, writer, lease, onUpstreams, isEvacuated } = options;
  const avoidUntil = new Map<string, number>();
  const shrinkAt = new Map<string, number>();
  const lastOrderSummaries = new Map<string, string>();

  const avoidReclaimedPools = (upstreams: readonly UpstreamStatus[]): void =>
    upstreams
      .filter(({ reclaimed }) => reclaimed)
      .forEach(({ service, kind }) =>
        avoidUntil.set(poolKey(service, { failureDomain, kind }), clock.now() + AVOID_RECLAIMED_MS),
      );

  const countRunning = (
    upstreams: readonly UpstreamStatus[],
    service: string,
    pool: PoolSettings,
  ): number =>
    upstreams.filter(
      (upstream) =>
        upstream.service === service &&
        upstream.kind === pool.kind &&
        upstream.state !== 'leaving' &&
        !upstream.reclaimed,
    ).length;

  /**
   * Delays a reduction until the smaller number has sufficed for a while, so that short dips in
   * demand stop no upstream.
   */
  const delayShrinking = (name: string, running: number, wanted: number): number => {
    if (wanted >= running) {
      shrinkAt.delete(name);
      return wanted;
    }
    const poolShrinkAt = shrinkAt.get(name) ?? clock.now() + SHRINK_DELAY_MS;
    shrinkAt.set(name, poolShrinkAt);
    return clock.now() >= poolShrinkAt ? wanted : running;
  };

  const placeOrder = async (
    service: ServiceSettings,
    pool: PoolSettings,
    wanted: number,
    running: number,
  ): Promise<void> => {
    const held = lease.holdFor(ORDER_TIMEOUT_MS + MIN_REMAINING_LEASE_MS);
    if (!held) return;
    const order = {
      failureDomain,
      service: service.id,
      kind: pool.kind,
      wanted,
      fence: held.fence,
    };
    const placed = await orders.place(order, () =>
      isStillHeld(lease, held, MIN_REMAINING_LEASE_MS),
    );
    const outcome = placed.ok ? 'taken' : placed.val;
    log.info({ event: 'upstream-order', ...order, running, outcome });
    const name = poolKey(service.id, pool);
    if (placed.ok && countRunning(placed.val, service.id, pool) < wanted) {
      avoidUntil.set(name, clock.now() + AVOID_UNAVAILABLE_MS);
    }
    const orderSummary = `${wanted} ${held.fence} ${outcome}`;
    if (lastOrderSummaries.get(name) === orderSummary) return;
    lastOrderSummaries.set(name, orderSummary);
    const note = {
      type: 'audit-note',
      subject: `${name}: ${wanted} wanted`,
      action: 'upstream-order',
      basis: `fence ${held.fence}, ${running} running, demand ${readDemand(service.id)}`,
      outcome,
    } as const;
    writer.write(note, clock.now() + AUDIT_NOTE_TIMEOUT_MS).catch(() => undefined);
  };

  /** Pools that the platform still runs but the settings no longer contain. */
  const findRemovedPools = (
    upstreams: readonly UpstreamStatus[],
  ): [ServiceSettings, PoolSettings][] => {
    const removed = new Map<string, [ServiceSettings, PoolSettings]>();
    upstreams
      .filter(({ state }) => state !== 'leaving')
      .forEach(({ service: id, kind }) => {
        const service = readSettings().services.get(id);
        const isConfigured = service?.pools.some(
          (pool) => pool.failureDomain === failureDomain && pool.kind === kind,
        );
        if (isConfigured) return;
        const removedService = serviceSettingsSchema.parse({ id, type: 'plain' });
        const pool = poolSettingsSchema.parse({ failureDomain, kind, maxUpstreams: 0 });
        removed.set(`${id} ${kind}`, [service ?? removedService, pool]);
      });
    return [...removed.values()];
  };

  const orderService = async (
    service: ServiceSettings,
    upstreams: readonly UpstreamStatus[],
  ): Promise<void> => {
    const sizesByPool = choosePoolSizes({
      service,
      demand: readDemand(service.id),
      failureDomain,
      isAvoided: (pool) => (avoidUntil.get(poolKey(service.id, pool)) ?? 0) > clock.now(),
    });
    for (const [pool, wanted] of sizesByPool) {
      const running = countRunning(upstreams, service.id, pool);
      const target = delayShrinking(poolKey(service.id, pool), running, wanted);
      if (target !== running) await placeOrder(service, pool, target, running);
    }
  };

  while (!signal.aborted) {
    const next = clock.now() + CHECK_INTERVAL_MS;
    if (lease.holdFor(0) && !isEvacuated()) {
      const upstreams = await orders.read(failureDomain);
      if (upstreams.ok) {
        avoidReclaimedPools(upstreams.val);
        onUpstreams(upstreams.val);
        for (const service of readSettings().services.values()) {
          await orderService(service, upstreams.val);
        }
        // Before the first settings are read, all pools would appear to be removed.
        const removed = readSettings().services.size > 0 ? findRemovedPools(upstreams.val) : [];
        for (const [service, pool] of removed) {
          await placeOrder(service, pool, 0, countRunning(upstreams.val, service.id, pool));
        }
      }
    }
    await clock.sleepUntil(next, signal);
  }
};

export default orderUpstreams;
