import { describeHomes } from '@cyclamengate/common/homes';
import type { Homes } from '@cyclamengate/common/homes';
import type { Candidate } from '@cyclamengate/engines/chooseUpstream';
import type { Candidates } from '@cyclamengate/gateway/newCandidates';
import { pickService } from '@cyclamengate/gateway/findRoute';
import type { Route } from '@cyclamengate/gateway/operatorSettings';
import type { BatchOwner } from './batchRecord.js';
import type { BatchState } from './newBatchState.js';
import type { Reservations } from './newReservations.js';
import type { ItemTask } from './newTaskList.js';

/** Items that may run on the same upstreams: those of a service in some regions. */
export interface ItemScope {
  key: string;
  service: string;
  homes: Homes;
  list: ItemTask[];
}

export interface ItemScopesOptions {
  candidates: Candidates;
  reservations: Pick<Reservations, 'addTo'>;
  routeOf: (state: BatchState) => Route | undefined;
  /** Regions in which a batch may run; null for all. */
  homesOf: (batch: BatchOwner) => Homes;
}

/** Groups items by the upstreams on which they may run, and finds these upstreams. */
const newItemScopes = ({ candidates, reservations, routeOf, homesOf }: ItemScopesOptions) => ({
  /** Items whose route has no service are left out. */
  group: (list: ItemTask[]): ItemScope[] => {
    const scopes = new Map<string, ItemScope>();
    list.forEach((task) => {
      const route = routeOf(task.state);
      const service = route && pickService(route, 0);
      if (!service) return;
      const homes = homesOf(task.state.batch);
      const key = `${service} ${describeHomes(homes)}`;
      const scope = scopes.get(key) ?? { key, service, homes, list: [] };
      scope.list.push(task);
      scopes.set(key, scope);
    });
    return [...scopes.values()];
  },
  /** The upstreams of a scope; slots reserved for moving items count as load. */
  findCandidates: ({ service, homes }: ItemScope): Candidate[] =>
    reservations.addTo(candidates(service, undefined, homes)),
});

export type ItemScopes = ReturnType<typeof newItemScopes>;

export default newItemScopes;
