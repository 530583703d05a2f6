import type { Queue } from 'p-queue';
import type { Priority } from '@cyclamengate/upstreams/generation';
import { QueuePolicy, requireTicket } from './QueuePolicy.js';
import type { CustomerRights, QueuedTask, TicketOptions, QueuedRequest } from './QueuePolicy.js';
import { PRIORITIES } from './refusal.js';
import type { Ticket } from './ticket.js';

/** Relative shares of service that the priorities get while requests of each are queued. */
const PRIORITY_SHARES: Readonly<Record<Priority, number>> = {
  interactive: 16,
  background: 2,
  training: 4,
};

/** A customer's queued requests; cancelled ones stay in the list until they are dequeued. */
interface CustomerQueue {
  requests: QueuedRequest[];
  /** Number of requests that are not cancelled. */
  activeCount: number;
}

/** Usage per competitor (a priority or a customer), in tokens divided by its share. */
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

/**
 * Weighted fair queueing over priorities and customers.
 *
 * With a first-in-first-out queue, one customer's burst delays all other customers. Here each
 * customer has a counter of the tokens that it has used, divided by its share, and the customer
 * with the lowest counter is next; priorities are chosen the same way. A request is charged its
 * estimated cost when it starts and the difference once its actual cost is known.
 */
const newFairQueuePolicy = ({ getShare, mayStart }: CustomerRights): QueuePolicy => {
  const queues = new Map<Priority, Map<string, CustomerQueue>>(
    PRIORITIES.map((priority) => [priority, new Map<string, CustomerQueue>()]),
  );
  const priorityCounters = newUsageCounters();
  const customerCounters = newUsageCounters();
  let queuedTotal = 0;

  const getQueues = (priority: Priority): Map<string, CustomerQueue> =>
    queues.get(priority) as Map<string, CustomerQueue>;

  const findQueuedPriorities = (): Priority[] =>
    PRIORITIES.filter((priority) => getQueues(priority).size > 0);

  const customerCounterName = (priority: Priority, customer: string): string =>
    `${priority} ${customer}`;

  const charge = ({ priority, customer }: Ticket, tokens: number): void => {
    priorityCounters.charge(priority, tokens / PRIORITY_SHARES[priority]);
    customerCounters.charge(customerCounterName(priority, customer), tokens / getShare(customer));
  };

  /** Removes a request from the counts, and its customer if it was the customer's last one. */
  const removeQueued = ({ priority, customer }: Ticket): void => {
    const queue = getQueues(priority).get(customer);
    if (!queue) return;
    queuedTotal -= 1;
    queue.activeCount -= 1;
    if (queue.activeCount === 0) getQueues(priority).delete(customer);
  };

  const countEligible = (priority: Priority): number =>
    [...getQueues(priority)].reduce(
      (sum, [customer, { activeCount }]) => sum + (mayStart(customer) ? activeCount : 0),
      0,
    );

  /** Removes and returns a customer's oldest request that is not cancelled. */
  const shiftActive = ({ requests }: CustomerQueue): QueuedRequest | undefined => {
    let taken = requests.shift();
    while (taken?.ticket.isCancelled) taken = requests.shift();
    return taken;
  };

  const dequeueFrom = (priority: Priority): QueuedRequest | undefined => {
    const customers = getQueues(priority);
    const [next] = [...customers.keys()]
      .filter(mayStart)
      .sort(
        (left, right) =>
          customerCounters.get(customerCounterName(priority, left)) -
          customerCounters.get(customerCounterName(priority, right)),
      );
    const queue = next === undefined ? undefined : customers.get(next);
    return queue && shiftActive(queue);
  };

  const dequeueNext = (): QueuedRequest | undefined => {
    const priorities = findQueuedPriorities().sort(
      (left, right) => priorityCounters.get(left) - priorityCounters.get(right),
    );
    return priorities.reduce<QueuedRequest | undefined>(
      (taken, priority) => taken ?? dequeueFrom(priority),
      undefined,
    );
  };

  /** Raises the counters of a customer and priority that had no queued requests. */
  const raiseCounters = ({ priority, customer }: Ticket): void => {
    const customers = getQueues(priority);
    if (customers.size === 0) priorityCounters.raiseToMinimum(priority, findQueuedPriorities());
    const names = [...customers.keys()].map((queued) => customerCounterName(priority, queued));
    customerCounters.raiseToMinimum(customerCounterName(priority, customer), names);
  };

  class FairQueue implements Queue<QueuedTask, TicketOptions> {
    enqueue(run: QueuedTask, options?: Partial<TicketOptions>): void {
      const ticket = requireTicket(options);
      const customers = getQueues(ticket.priority);
      const known = customers.get(ticket.customer);
      if (!known) raiseCounters(ticket);
      const queue = known ?? { requests: [], activeCount: 0 };
      customers.set(ticket.customer, queue);
      queue.requests.push({ ticket, run });
      queue.activeCount += 1;
      queuedTotal += 1;
    }

    dequeue(): QueuedTask | undefined {
      const taken = dequeueNext();
      if (!taken) return undefined;
      removeQueued(taken.ticket);
      charge(taken.ticket, taken.ticket.cost);
      return taken.run;
    }

    filter(): QueuedTask[] {
      return PRIORITIES.flatMap((priority) =>
        [...getQueues(priority).values()].flatMap(({ requests }) => requests.map(({ run }) => run)),
      );
    }

    setPriority(): void {
      throw new Error("invariant broken: a queued ticket's priority is fixed");
    }

    /**
     * Counts only requests that may start now, since p-queue dequeues whenever the size is not
     * zero. Requests over their customer's limit are checked again when a request ends or the queue
     * starts.
     */
    get size(): number {
      return PRIORITIES.reduce((sum, priority) => sum + countEligible(priority), 0);
    }
  }

  class FairQueuePolicy extends QueuePolicy {
    readonly queueClass = FairQueue;

    charge(ticket: Ticket, tokens: number): void {
      charge(ticket, tokens);
    }

    cancel(ticket: Ticket): void {
      if (ticket.isCancelled) return;
      ticket.isCancelled = true;
      removeQueued(ticket);
    }

    countQueued(): number {
      return queuedTotal;
    }

    countQueuedAhead(customer: string): number {
      return PRIORITIES.reduce(
        (sum, priority) => sum + (getQueues(priority).get(customer)?.activeCount ?? 0),
        0,
      );
    }

    estimateSlotFraction(customer: string, priority: Priority): number {
      const competitors = new Set([...getQueues(priority).keys(), customer]);
      const totalShares = [...competitors].reduce((sum, name) => sum + getShare(name), 0);
      return getShare(customer) / totalShares;
    }
  }
  return new FairQueuePolicy();
};

export default newFairQueuePolicy;
