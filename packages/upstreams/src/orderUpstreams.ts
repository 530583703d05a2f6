import type Clock from '@cyclamengate/common/Clock';
import type { Log } from '@cyclamengate/common/newLogger';
import { isSameHold } from '@cyclamengate/coordination/newLease';
import type { Lease } from '@cyclamengate/coordination/newLease';
import type { LogWriter } from '@cyclamengate/coordination/newLogWriter';
import { ORDER_TIMEOUT_MS } from '@cyclamengate/platform/newHttpUpstreamOrders';
import type UpstreamOrders from '@cyclamengate/platform/UpstreamOrders';
import type { UpstreamStatus } from '@cyclamengate/platform/upstreamStatus';
import type { EffectiveSettings } from '@cyclamengate/settings/newEffectiveSettings';
import { poolSettingsSchema, serviceSettingsSchema } from '@cyclamengate/settings/serviceSettings';
import type { PoolSettings, ServiceSettings } from '@cyclamengate/settings/serviceSettings';
import chooseWanted from './chooseWanted.js';

const CHECK_EVERY_MS = 1_000;
const LEASE_RESERVE_MS = 250;
const NOTE_TIMEOUT_MS = 10_000;
/** Fewer upstreams are ordered only after they were enough for this long. */
const SHRINK_AFTER_MS = 30_000;
/** A pool the platform took back is left alone for this long. */
const AVOID_RECLAIMED_MS = 60_000;
/** A pool the platform could not fill is left to others for this long. */
const AVOID_UNAVAILABLE_MS = 15_000;

export interface OrderUpstreamsOptions {
  clock: Clock;
  log: Log;
  failureDomain: string;
  readSettings: () => EffectiveSettings;
  /** Requests running and waiting, by service, over all hosts. */
  readDemand: (service: string) => number;
  orders: UpstreamOrders;
  writer: LogWriter;
  lease: Lease;
  /** Told what the platform runs, each time it was read. */
  onUpstreams: (upstreams: UpstreamStatus[]) => void;
}

const poolName = (
  service: string,
  { failureDomain, kind }: Pick<PoolSettings, 'failureDomain' | 'kind'>,
): string => `${service} ${failureDomain} ${kind}`;

/**
 * Orders the upstreams of one failure domain by demand, while this process holds its lease.
 *
 * An order's answer can be lost after it took effect. Orders say the wanted number, not a change,
 * and each round starts from what the platform says it runs, so neither a repetition nor a
 * successor that knows nothing starts an upstream twice for one wish.
 */
const orderUpstreams = async (
  options: OrderUpstreamsOptions,
  signal: AbortSignal,
): Promise<void> => {
  const { clock, log, failureDomain, readSettings, readDemand } = options;
  const { orders, writer, lease, onUpstreams } = options;
  const avoidUntil = new Map<string, number>();
  const shrinkAt = new Map<string, number>();
  const lastOrdered = new Map<string, string>();

  const noteReclaims = (upstreams: readonly UpstreamStatus[]): void =>
    upstreams
      .filter(({ reclaimed }) => reclaimed)
      .forEach(({ service, kind }) =>
        avoidUntil.set(
          poolName(service, { failureDomain, kind }),
          clock.now() + AVOID_RECLAIMED_MS,
        ),
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

  /** Holds a smaller number back until it has been enough for a while, so demand's dips cost none. */
  const settle = (name: string, running: number, wanted: number): number => {
    if (wanted >= running) {
      shrinkAt.delete(name);
      return wanted;
    }
    const at = shrinkAt.get(name) ?? clock.now() + SHRINK_AFTER_MS;
    shrinkAt.set(name, at);
    return clock.now() >= at ? wanted : running;
  };

  const place = async (
    service: ServiceSettings,
    pool: PoolSettings,
    wanted: number,
    running: number,
  ): Promise<void> => {
    const held = lease.holdFor(ORDER_TIMEOUT_MS + LEASE_RESERVE_MS);
    if (!held) return;
    const order = {
      failureDomain,
      service: service.id,
      kind: pool.kind,
      wanted,
      fence: held.fence,
    };
    const placed = await orders.place(order, () => isSameHold(lease, held, LEASE_RESERVE_MS));
    const outcome = placed.ok ? 'taken' : placed.val;
    log.info({ event: 'upstream-order', ...order, running, outcome });
    const name = poolName(service.id, pool);
    if (placed.ok && countRunning(placed.val, service.id, pool) < wanted) {
      avoidUntil.set(name, clock.now() + AVOID_UNAVAILABLE_MS);
    }
    const said = `${wanted} ${held.fence} ${outcome}`;
    if (lastOrdered.get(name) === said) return;
    lastOrdered.set(name, said);
    const note = {
      type: 'audit-note',
      subject: `${name}: ${wanted} wanted`,
      action: 'upstream-order',
      basis: `fence ${held.fence}, ${running} running, demand ${readDemand(service.id)}`,
      outcome,
    } as const;
    writer.write(note, clock.now() + NOTE_TIMEOUT_MS).catch(() => undefined);
  };

  /** Pools that settings no longer have, but that the platform still runs. */
  const findRemoved = (upstreams: readonly UpstreamStatus[]): [ServiceSettings, PoolSettings][] => {
    const removed = new Map<string, [ServiceSettings, PoolSettings]>();
    upstreams
      .filter(({ state }) => state !== 'leaving')
      .forEach(({ service: id, kind }) => {
        const service = readSettings().services.get(id);
        const isKept = service?.pools.some(
          (pool) => pool.failureDomain === failureDomain && pool.kind === kind,
        );
        if (isKept) return;
        const gone = serviceSettingsSchema.parse({ id, type: 'plain' });
        const pool = poolSettingsSchema.parse({ failureDomain, kind, maxUpstreams: 0 });
        removed.set(`${id} ${kind}`, [service ?? gone, pool]);
      });
    return [...removed.values()];
  };

  const orderService = async (
    service: ServiceSettings,
    upstreams: readonly UpstreamStatus[],
  ): Promise<void> => {
    const wantedByPool = chooseWanted({
      service,
      demand: readDemand(service.id),
      failureDomain,
      isAvoided: (pool) => (avoidUntil.get(poolName(service.id, pool)) ?? 0) > clock.now(),
    });
    for (const [pool, wanted] of wantedByPool) {
      const running = countRunning(upstreams, service.id, pool);
      const settled = settle(poolName(service.id, pool), running, wanted);
      if (settled !== running) await place(service, pool, settled, running);
    }
  };

  while (!signal.aborted) {
    const next = clock.now() + CHECK_EVERY_MS;
    if (lease.holdFor(0)) {
      const upstreams = await orders.read(failureDomain);
      if (upstreams.ok) {
        noteReclaims(upstreams.val);
        onUpstreams(upstreams.val);
        for (const service of readSettings().services.values()) {
          await orderService(service, upstreams.val);
        }
        // Before the first settings are read, everything would look removed.
        const removed = readSettings().services.size > 0 ? findRemoved(upstreams.val) : [];
        for (const [service, pool] of removed) {
          await place(service, pool, 0, countRunning(upstreams.val, service.id, pool));
        }
      }
    }
    await clock.sleepUntil(next, signal);
  }
};

export default orderUpstreams;
