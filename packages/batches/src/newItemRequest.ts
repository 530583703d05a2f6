import type Clock from '@cyclamengate/common/Clock';
import type { UpstreamRequest } from '@cyclamengate/engines/UpstreamClient';
import type { Route } from '@cyclamengate/gateway/operatorSettings';
import type { ItemRequest } from './batchRecord.js';
import type { ItemTask } from './newTaskList.js';

/** The request that runs an item from where its text ends. */
const newItemRequest = (
  clock: Clock,
  { state, progress }: ItemTask,
  item: ItemRequest,
  route: Route | undefined,
): UpstreamRequest => {
  const { batch } = state;
  const retentionMs = route?.retentionMs ?? 0;
  const age = clock.wallTime() - batch.acceptedAt;
  return {
    requestId: item.id,
    work: 'item',
    method: 'POST',
    path: item.path,
    hostName: batch.hostName,
    headers: item.headers,
    priority: route?.priority ?? null,
    body: item.body,
    customer: batch.customer,
    deadline: retentionMs > 0 ? clock.now() + Math.max(1, retentionMs - age) : null,
    lastEventId: progress.lastEventId,
  };
};

export default newItemRequest;
