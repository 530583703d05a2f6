import type { Daemon } from '@cyclamengate/coordination/newDaemon';
import { ordersLease } from '@cyclamengate/coordination/leaseNames';
import type { Lease } from '@cyclamengate/coordination/newLease';
import { newHttpUpstreamOrders } from '@cyclamengate/platform/newHttpUpstreamOrders';
import type { UpstreamStatus } from '@cyclamengate/platform/upstreamStatus';
import rolloutWeights from '@cyclamengate/rollouts/rolloutWeights';
import type { EffectiveSettings } from '@cyclamengate/settings/newEffectiveSettings';
import { newHttpModelEngine } from '@cyclamengate/upstreams/newHttpModelEngine';
import orderUpstreams from '@cyclamengate/upstreams/orderUpstreams';

const listFailureDomains = ({ services }: EffectiveSettings): Set<string> =>
  new Set(
    [...services.values()].flatMap(({ pools }) => pools.map(({ failureDomain }) => failureDomain)),
  );

/** Runs the tasks of each failure domain in the settings under a lease of its own. */
const newDomainTasks = (daemon: Daemon) => {
  const { clock, log, metrics, tasks, runtime, settings } = daemon;
  const leases = new Map<string, Lease>();
  const orders = newHttpUpstreamOrders(settings.platform.orders);
  const engine = newHttpModelEngine();

  const readDemand = (service: string): number =>
    runtime.membership.live().reduce((sum, { demand }) => sum + (demand[service] ?? 0), 0);

  const startDomain = (failureDomain: string): void => {
    const isEvacuated = (): boolean =>
      runtime.follower.state().evacuatedDomains.includes(failureDomain);
    const lease = runtime.startLease(ordersLease(failureDomain), failureDomain);
    let upstreams: UpstreamStatus[] = [];
    leases.set(failureDomain, lease);
    tasks.start(`orders ${failureDomain}`, (signal) =>
      orderUpstreams(
        {
          clock,
          log,
          failureDomain,
          isEvacuated,
          readSettings: runtime.effective,
          readDemand,
          orders,
          writer: runtime.writer,
          lease,
          onUpstreams: (listed) => {
            upstreams = listed;
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
          readUpstreams: () => (isEvacuated() ? [] : upstreams),
          engine,
          lease,
        },
        signal,
      ),
    );
  };

  return {
    /**
     * Starts the tasks of the failure domains that are new in the settings. Those of a removed domain
     * go on, so that its remaining upstreams are stopped by orders.
     */
    startNewDomains: (effective: EffectiveSettings): void =>
      listFailureDomains(effective).forEach((failureDomain) => {
        if (!leases.has(failureDomain)) startDomain(failureDomain);
      }),
    leases: (): Lease[] => [...leases.values()],
  };
};

export default newDomainTasks;
