import type { Queue } from 'p-queue';
import { QueuePolicy, requireTicket } from './QueuePolicy.js';
import type {
  QueuedCount,
  QueuedRequest,
  QueuedTask,
  QueueRights,
  TicketOptions,
} from './QueuePolicy.js';
import type { Ticket } from './ticket.js';

/**
 * Queued requests of one customer that compete for the same places; cancelled ones stay in the list
 * until they are dequeued.
 */
interface CustomerQueue {
  customer: string;
  requests: QueuedRequest[];
  /** Number of requests that are not cancelled. */
  activeCount: number;
}

/** A request that may start now, with the queue that it waits in. */
interface Head {
  queue: CustomerQueue;
  ticket: Ticket;
}

/** Usage per competitor (a class or a customer), in units of cost divided by its share. */
const newUsageCounters = () => {
  const used = new Map<string, number>();
  return {
    get: (name: string): number => used.get(name) ?? 0,
    charge: (name: string, amount: number): void => {
      used.set(name, (used.get(name) ?? 0) + amount);
    },
    /** Raises a counter to the lowest of its competitors', so that idle time earns no credit. */
    raiseToMinimum: (name: string, others: readonly string[]): void => {
      if (others.length === 0) return;
      const lowest = Math.min(...others.map((other) => used.get(other) ?? 0));
      used.set(name, Math.max(used.get(name) ?? 0, lowest));
    },
  };
};

const orderOf = ({ order = 0 }: Ticket): number => order;

const queueName = ({ customer, pool = '' }: Ticket): string => `${customer}\n${pool}`;

const customerCounterName = (priority: string, customer: string): string =>
  `${priority} ${customer}`;

/** Inserts a request behind those that go before it; nearly always at the end. */
const insertInOrder = (requests: QueuedRequest[], request: QueuedRequest): void => {
  const order = orderOf(request.ticket);
  const before = requests.findLastIndex(({ ticket }) => orderOf(ticket) <= order);
  requests.splice(before + 1, 0, request);
};

/**
 * Weighted fair queueing over classes of work and customers.
 *
 * With a first-in-first-out queue, one customer's burst delays all other customers. Here each
 * customer has a counter of what it has used, divided by its share, and the customer with the lowest
 * counter is next; classes are chosen the same way. A request is charged its estimated cost when it
 * starts and the difference once its actual cost is known.
 */
const newFairQueuePolicy = ({ classShares, getShare, mayStart }: QueueRights): QueuePolicy => {
  const classes = Object.keys(classShares);
  const queues = new Map(classes.map((name) => [name, new Map<string, CustomerQueue>()]));
  const queuedByClass = new Map<string, number>();
  const classCounters = newUsageCounters();
  const customerCounters = newUsageCounters();
  let queuedTotal = 0;

  const getQueues = (priority: string): Map<string, CustomerQueue> => {
    const found = queues.get(priority);
    if (!found) throw new Error(`invariant broken: no class ${priority}`);
    return found;
  };

  const getClassShare = (priority: string): number => classShares[priority] ?? 1;

  const findQueuedClasses = (): string[] => classes.filter((name) => getQueues(name).size > 0);

  const charge = ({ priority, customer }: Ticket, cost: number): void => {
    classCounters.charge(priority, cost / getClassShare(priority));
    customerCounters.charge(customerCounterName(priority, customer), cost / getShare(customer));
  };

  const adjustQueued = (priority: string, change: number): void => {
    queuedTotal += change;
    queuedByClass.set(priority, (queuedByClass.get(priority) ?? 0) + change);
  };

  /** Removes a request from the counts, and its queue if it was the last one in it. */
  const removeQueued = (ticket: Ticket): void => {
    const queue = getQueues(ticket.priority).get(queueName(ticket));
    if (!queue) return;
    adjustQueued(ticket.priority, -1);
    queue.activeCount -= 1;
    if (queue.activeCount === 0) getQueues(ticket.priority).delete(queueName(ticket));
  };

  /** The first request of a queue that is not cancelled. */
  const findHead = (queue: CustomerQueue): Head | null => {
    while (queue.requests[0]?.ticket.isCancelled) queue.requests.shift();
    const [first] = queue.requests;
    return first ? { queue, ticket: first.ticket } : null;
  };

  const findStartable = (priority: string): Head[] =>
    [...getQueues(priority).values()].flatMap((queue) => {
      const head = findHead(queue);
      return head && mayStart(head.ticket) ? [head] : [];
    });

  const compareHeads = ({ ticket: left }: Head, { ticket: right }: Head): number =>
    orderOf(left) - orderOf(right) ||
    customerCounters.get(customerCounterName(left.priority, left.customer)) -
      customerCounters.get(customerCounterName(right.priority, right.customer));

  /** The request that counted as startable when p-queue last asked for the size. */
  let counted: Head | null = null;

  /** Takes that request although its place may be gone by now: p-queue runs what it has counted. */
  const dequeueCounted = (): QueuedRequest | undefined => {
    const isQueued = counted !== null && findHead(counted.queue)?.ticket === counted.ticket;
    return isQueued ? counted?.queue.requests.shift() : undefined;
  };

  const dequeueFrom = (priority: string): QueuedRequest | undefined => {
    const [next] = findStartable(priority).sort(compareHeads);
    return next?.queue.requests.shift();
  };

  const dequeueNext = (): QueuedRequest | undefined => {
    const queuedClasses = findQueuedClasses().sort(
      (left, right) => classCounters.get(left) - classCounters.get(right),
    );
    return queuedClasses.reduce<QueuedRequest | undefined>(
      (taken, priority) => taken ?? dequeueFrom(priority),
      undefined,
    );
  };

  /** Raises the counters of a customer and class that had no queued requests. */
  const raiseCounters = ({ priority, customer }: Ticket): void => {
    const customers = [...getQueues(priority).values()];
    if (customers.length === 0) classCounters.raiseToMinimum(priority, findQueuedClasses());
    const names = customers.map((queued) => customerCounterName(priority, queued.customer));
    customerCounters.raiseToMinimum(customerCounterName(priority, customer), names);
  };

  class FairQueue implements Queue<QueuedTask, TicketOptions> {
    enqueue(run: QueuedTask, options?: Partial<TicketOptions>): void {
      const ticket = requireTicket(options);
      const { customer, priority } = ticket;
      const classQueues = getQueues(priority);
      const known = classQueues.get(queueName(ticket));
      if (!known) raiseCounters(ticket);
      const queue = known ?? { customer, requests: [], activeCount: 0 };
      classQueues.set(queueName(ticket), queue);
      insertInOrder(queue.requests, { ticket, run });
      queue.activeCount += 1;
      adjustQueued(priority, 1);
    }

    dequeue(): QueuedTask | undefined {
      const taken = dequeueNext() ?? dequeueCounted();
      if (!taken) return undefined;
      removeQueued(taken.ticket);
      charge(taken.ticket, taken.ticket.cost);
      return taken.run;
    }

    filter(): QueuedTask[] {
      return classes.flatMap((priority) =>
        [...getQueues(priority).values()].flatMap(({ requests }) => requests.map(({ run }) => run)),
      );
    }

    setPriority(): void {
      throw new Error("invariant broken: a queued ticket's class is fixed");
    }

    /**
     * Counts only requests that may start now, since p-queue dequeues whenever the size is not
     * zero. Requests that may not are checked again when a request ends or the queue is refreshed.
     */
    get size(): number {
      if (queuedTotal === 0) return 0;
      const startable = classes.flatMap(findStartable);
      counted = startable[0] ?? null;
      return startable.reduce((sum, { queue }) => sum + queue.activeCount, 0);
    }
  }

  const listQueued = (): QueuedCount[] =>
    classes.flatMap((priority) =>
      [...getQueues(priority).values()].map(({ customer, activeCount }) => ({
        priority,
        customer,
        count: activeCount,
      })),
    );

  class FairQueuePolicy extends QueuePolicy {
    readonly queueClass = FairQueue;

    charge(ticket: Ticket, cost: number): void {
      charge(ticket, cost);
    }

    cancel(ticket: Ticket): void {
      if (ticket.isCancelled) return;
      ticket.isCancelled = true;
      removeQueued(ticket);
    }

    countQueued(): number {
      return queuedTotal;
    }

    countQueuedOf(priority: string): number {
      return queuedByClass.get(priority) ?? 0;
    }

    countQueuedAhead(customer: string): number {
      return listQueued().reduce(
        (sum, queued) => sum + (queued.customer === customer ? queued.count : 0),
        0,
      );
    }

    /** While a customer gets to this request, others get as much as their shares or their queues allow. */
    countStartsAhead({ customer, priority }: Ticket): number {
      const queued = listQueued().filter((one) => one.priority === priority);
      const own = queued
        .filter((one) => one.customer === customer)
        .reduce((sum, { count }) => sum + count, 0);
      return queued
        .filter((one) => one.customer !== customer)
        .reduce(
          (sum, other) =>
            sum +
            Math.min(other.count, ((own + 1) * getShare(other.customer)) / getShare(customer)),
          own,
        );
    }

    listQueued(): QueuedCount[] {
      return listQueued();
    }
  }
  return new FairQueuePolicy();
};

export default newFairQueuePolicy;
