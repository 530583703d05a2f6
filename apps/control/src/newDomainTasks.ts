import type { Daemon } from '@cyclamengate/coordination/newDaemon';
import { ordersLease } from '@cyclamengate/coordination/leaseNames';
import type { Lease } from '@cyclamengate/coordination/newLease';
import { newHttpUpstreamOrders } from '@cyclamengate/platform/newHttpUpstreamOrders';
import type { UpstreamStatus } from '@cyclamengate/platform/upstreamStatus';
import rolloutWeights from '@cyclamengate/rollouts/rolloutWeights';
import type { EffectiveSettings } from '@cyclamengate/settings/newEffectiveSettings';
import { newHttpModelEngine } from '@cyclamengate/upstreams/newHttpModelEngine';
import orderUpstreams from '@cyclamengate/upstreams/orderUpstreams';

const domainsOf = ({ services }: EffectiveSettings): Set<string> =>
  new Set(
    [...services.values()].flatMap(({ pools }) => pools.map(({ failureDomain }) => failureDomain)),
  );

/** For each failure domain in the settings, a lease and the tasks that run under it. */
const newDomainTasks = (daemon: Daemon) => {
  const { clock, log, metrics, tasks, runtime, settings } = daemon;
  const leases = new Map<string, Lease>();
  const orders = newHttpUpstreamOrders(settings.platform.orders);
  const engine = newHttpModelEngine();

  const readDemand = (service: string): number =>
    runtime.membership.live().reduce((sum, { demand }) => sum + (demand[service] ?? 0), 0);

  const startDomain = (failureDomain: string): void => {
    const lease = runtime.startLease(ordersLease(failureDomain), failureDomain);
    let upstreams: UpstreamStatus[] = [];
    leases.set(failureDomain, lease);
    tasks.start(`orders ${failureDomain}`, (signal) =>
      orderUpstreams(
        {
          clock,
          log,
          failureDomain,
          readSettings: runtime.effective,
          readDemand,
          orders,
          writer: runtime.writer,
          lease,
          onUpstreams: (read) => {
            upstreams = read;
          },
        },
        signal,
      ),
    );
    tasks.start(`weights ${failureDomain}`, (signal) =>
      rolloutWeights(
        {
          clock,
          log,
          metrics,
          follower: runtime.follower,
          readSettings: runtime.effective,
          readUpstreams: () => upstreams,
          engine,
          lease,
        },
        signal,
      ),
    );
  };

  return {
    /** Starts what new settings ask for; a domain once seen is kept, to be emptied by orders. */
    follow: (effective: EffectiveSettings): void =>
      domainsOf(effective).forEach((failureDomain) => {
        if (!leases.has(failureDomain)) startDomain(failureDomain);
      }),
    leases: (): Lease[] => [...leases.values()],
  };
};

export default newDomainTasks;
