import { setTimeout as sleep } from 'node:timers/promises';
import type { UpstreamOrder } from '@cyclamengate/platform/upstreamOrder';
import { upstreamOrderSchema } from '@cyclamengate/platform/upstreamOrder';
import type { UpstreamStatus } from '@cyclamengate/platform/upstreamStatus';
import type { Polka } from 'polka';
import { z } from 'zod';
import type { EngineOptions } from './engineOptions.js';
import { faulty, readJson } from './faulty.js';
import type { FaultSwitches } from './faultSwitches.js';
import newEngineStandin from './newEngineStandin.js';
import type { EngineStandin } from './newEngineStandin.js';

const LEAVE_MS = 5_000;
const RECLAIM_MS = 2_000;
const MOST_PARALLEL_LOADS = 4;

const reclaimSchema = z.object({ failureDomain: z.string() });
const upstreamSchema = z.object({ id: z.string() });

export interface FleetOptions {
  faults: FaultSwitches;
  engine: Omit<EngineOptions, 'id'>;
  startMs: number;
  /** How late the host list tells of a change. */
  listLagMs: number;
}

export interface RunningUpstream {
  status: UpstreamStatus;
  engine: EngineStandin;
}

/** The platform's order interface, host list and weight store, with the upstreams they stand for. */
const newFleetStandin = ({ faults, engine, startMs, listLagMs }: FleetOptions) => {
  const running = new Map<string, RunningUpstream>();
  const fences = new Map<string, number>();
  /** Every order received, refused ones too. */
  const received: UpstreamOrder[] = [];
  let started = 0;
  let loads = 0;
  let listed: UpstreamStatus[] = [];

  const statuses = (): UpstreamStatus[] => [...running.values()].map(({ status }) => status);

  const publish = (): void => {
    const snapshot = statuses().map((status) => ({ ...status }));
    setTimeout(() => {
      listed = snapshot;
    }, listLagMs).unref();
  };

  const takeWeights = (): boolean => {
    if (loads >= MOST_PARALLEL_LOADS) return false;
    loads += 1;
    setTimeout(() => {
      loads -= 1;
    }, engine.loadMs).unref();
    return true;
  };

  const remove = (id: string): void => {
    running.get(id)?.engine.close();
    running.delete(id);
    publish();
  };

  const start = async ({ service, failureDomain, kind }: UpstreamOrder): Promise<void> => {
    started += 1;
    const id = `${service}-${failureDomain}-${started}`;
    const standin = await newEngineStandin({
      ...engine,
      id,
      faults,
      takeWeights,
      onCrash: () => {
        running.delete(id);
        publish();
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
    publish();
    await sleep(startMs);
    if (status.state === 'starting') status.state = 'live';
    publish();
  };

  const stop = ({ status, engine: leaving }: RunningUpstream, inMs: number): void => {
    status.state = 'leaving';
    leaving.leave();
    publish();
    setTimeout(() => remove(status.id), inMs).unref();
  };

  const place = async (order: UpstreamOrder): Promise<boolean> => {
    received.push(order);
    const fence = fences.get(order.failureDomain) ?? -1;
    if (order.fence < fence && !faults.use('orders', 'ignore-fence')) return false;
    fences.set(order.failureDomain, Math.max(fence, order.fence));
    const own = [...running.values()].filter(
      ({ status }) =>
        status.service === order.service &&
        status.kind === order.kind &&
        status.failureDomain === order.failureDomain &&
        status.state !== 'leaving',
    );
    own.slice(order.wanted).forEach((surplus) => stop(surplus, LEAVE_MS));
    const isShort = faults.use('orders', 'none-available') !== null;
    const missing = isShort ? 0 : Math.max(0, order.wanted - own.length);
    const before = running.size;
    for (let count = 0; count < missing; count += 1) start(order).catch(() => undefined);
    while (running.size < before + missing) await sleep(1);
    return true;
  };

  /** Takes back all cheap upstreams of a failure domain, with seconds' notice. */
  const reclaim = (failureDomain: string): void =>
    [...running.values()]
      .filter(({ status }) => status.failureDomain === failureDomain && status.kind === 'cheap')
      .forEach((one) => {
        one.status.reclaimed = true;
        stop(one, RECLAIM_MS);
      });

  const mount = (app: Polka): void => {
    const ofDomain = (failureDomain: unknown) =>
      statuses().filter((status) => status.failureDomain === failureDomain);
    app.get(
      '/orders',
      faulty(faults, 'orders', async (request) => ({
        status: 200,
        body: ofDomain((request.query as Record<string, string>).failureDomain),
      })),
    );
    app.post(
      '/orders',
      faulty(faults, 'orders', async (request, response) => {
        const order = await readJson(request, response, upstreamOrderSchema);
        if (!order) return null;
        const isTaken = await place(order);
        return isTaken
          ? { status: 200, body: ofDomain(order.failureDomain) }
          : { status: 409, body: { error: 'a newer fence was seen' } };
      }),
    );
    app.get(
      '/hosts',
      faulty(faults, 'hosts', async () => ({ status: 200, body: { upstreams: listed } })),
    );
    app.post(
      '/reclaim',
      faulty(faults, 'fleet', async (request, response) => {
        const wanted = await readJson(request, response, reclaimSchema);
        if (wanted) reclaim(wanted.failureDomain);
        return wanted && { status: 200, body: {} };
      }),
    );
    app.post(
      '/crash',
      faulty(faults, 'fleet', async (request, response) => {
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
