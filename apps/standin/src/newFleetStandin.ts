import { setTimeout as sleep } from 'node:timers/promises';
import type { UpstreamOrder } from '@cyclamengate/platform/upstreamOrder';
import { upstreamOrderSchema } from '@cyclamengate/platform/upstreamOrder';
import type { UpstreamStatus } from '@cyclamengate/platform/upstreamStatus';
import type { Polka } from 'polka';
import { z } from 'zod';
import type { EngineOptions } from './engineOptions.js';
import { readJson, withFaults } from './withFaults.js';
import type { FaultSwitches } from './faultSwitches.js';
import newEngineStandin from './newEngineStandin.js';
import type { EngineStandin } from './newEngineStandin.js';

const LEAVE_NOTICE_MS = 5_000;
const RECLAIM_NOTICE_MS = 2_000;
const MAX_PARALLEL_LOADS = 4;

const reclaimSchema = z.object({ failureDomain: z.string() });
const upstreamSchema = z.object({ id: z.string() });

export interface FleetOptions {
  faults: FaultSwitches;
  engine: Omit<EngineOptions, 'id'>;
  startMs: number;
  /** Delay until a change appears in the host list. */
  listLagMs: number;
}

export interface RunningUpstream {
  status: UpstreamStatus;
  engine: EngineStandin;
}

/** The platform's order interface, host list and weight store, and the upstreams that they manage. */
const newFleetStandin = ({ faults, engine, startMs, listLagMs }: FleetOptions) => {
  const running = new Map<string, RunningUpstream>();
  const highestFences = new Map<string, number>();
  /** All orders received, including refused ones. */
  const received: UpstreamOrder[] = [];
  let started = 0;
  let activeLoads = 0;
  let hostList: UpstreamStatus[] = [];

  const statuses = (): UpstreamStatus[] => [...running.values()].map(({ status }) => status);

  const publishHostList = (): void => {
    const snapshot = statuses().map((status) => ({ ...status }));
    setTimeout(() => {
      hostList = snapshot;
    }, listLagMs).unref();
  };

  const reserveWeightLoad = (): boolean => {
    if (activeLoads >= MAX_PARALLEL_LOADS) return false;
    activeLoads += 1;
    setTimeout(() => {
      activeLoads -= 1;
    }, engine.loadMs).unref();
    return true;
  };

  const remove = (id: string): void => {
    running.get(id)?.engine.close();
    running.delete(id);
    publishHostList();
  };

  const start = async ({ service, failureDomain, kind }: UpstreamOrder): Promise<void> => {
    started += 1;
    const id = `${service}-${failureDomain}-${started}`;
    const standin = await newEngineStandin({
      ...engine,
      id,
      faults,
      reserveWeightLoad,
      onCrash: () => {
        running.delete(id);
        publishHostList();
      },
    });
    const status: UpstreamStatus = {
      id,
      service,
      failureDomain,
      kind,
      url: standin.url,
      state: 'starting',
      reclaimed: false,
    };
    running.set(id, { status, engine: standin });
    publishHostList();
    await sleep(startMs);
    if (status.state === 'starting') status.state = 'live';
    publishHostList();
  };

  const stop = ({ status, engine: leaving }: RunningUpstream, noticeMs: number): void => {
    status.state = 'leaving';
    leaving.leave();
    publishHostList();
    setTimeout(() => remove(status.id), noticeMs).unref();
  };

  const applyOrder = async (order: UpstreamOrder): Promise<boolean> => {
    received.push(order);
    const fence = highestFences.get(order.failureDomain) ?? -1;
    if (order.fence < fence && !faults.use('orders', 'ignore-fence')) return false;
    highestFences.set(order.failureDomain, Math.max(fence, order.fence));
    const matching = [...running.values()].filter(
      ({ status }) =>
        status.service === order.service &&
        status.kind === order.kind &&
        status.failureDomain === order.failureDomain &&
        status.state !== 'leaving',
    );
    matching.slice(order.wanted).forEach((surplus) => stop(surplus, LEAVE_NOTICE_MS));
    const isNoneAvailable = faults.use('orders', 'none-available') !== null;
    const missing = isNoneAvailable ? 0 : Math.max(0, order.wanted - matching.length);
    const runningBefore = running.size;
    for (let count = 0; count < missing; count += 1) start(order).catch(() => undefined);
    while (running.size < runningBefore + missing) await sleep(1);
    return true;
  };

  /** Reclaims all cheap upstreams of a failure domain, with a few seconds' notice. */
  const reclaim = (failureDomain: string): void =>
    [...running.values()]
      .filter(({ status }) => status.failureDomain === failureDomain && status.kind === 'cheap')
      .forEach((one) => {
        one.status.reclaimed = true;
        stop(one, RECLAIM_NOTICE_MS);
      });

  const mount = (app: Polka): void => {
    const statusesOfDomain = (failureDomain: unknown) =>
      statuses().filter((status) => status.failureDomain === failureDomain);
    app.get(
      '/orders',
      withFaults(faults, 'orders', async (request) => ({
        status: 200,
        body: statusesOfDomain((request.query as Record<string, string>).failureDomain),
      })),
    );
    app.post(
      '/orders',
      withFaults(faults, 'orders', async (request, response) => {
        const order = await readJson(request, response, upstreamOrderSchema);
        if (!order) return null;
        const isAccepted = await applyOrder(order);
        return isAccepted
          ? { status: 200, body: statusesOfDomain(order.failureDomain) }
          : { status: 409, body: { error: 'a newer fence was seen' } };
      }),
    );
    app.get(
      '/hosts',
      withFaults(faults, 'hosts', async () => ({ status: 200, body: { upstreams: hostList } })),
    );
    app.post(
      '/reclaim',
      withFaults(faults, 'fleet', async (request, response) => {
        const wanted = await readJson(request, response, reclaimSchema);
        if (wanted) reclaim(wanted.failureDomain);
        return wanted && { status: 200, body: {} };
      }),
    );
    app.post(
      '/crash',
      withFaults(faults, 'fleet', async (request, response) => {
        const wanted = await readJson(request, response, upstreamSchema);
        if (wanted) running.get(wanted.id)?.engine.crash();
        return wanted && { status: 200, body: {} };
      }),
    );
  };

  return { mount, statuses, received: () => received, started: () => started, running };
};

export type FleetStandin = ReturnType<typeof newFleetStandin>;

export default newFleetStandin;
