import type { Queue } from 'p-queue';
import type { Priority } from '@cyclamengate/upstreams/generation';
import { QueuePolicy, ticketOf } from './QueuePolicy.js';
import type { QueueRights, Run, TicketOptions, Waiting } from './QueuePolicy.js';
import { PRIORITIES } from './refusal.js';
import type { Ticket } from './ticket.js';

/** Parts of the slots that classes of work get while all of them wait. */
const CLASS_SHARES: Readonly<Record<Priority, number>> = {
  interactive: 16,
  background: 2,
  training: 4,
};

/** A customer's waiting requests; those given up stay in the list until their turn comes. */
interface CustomerQueue {
  waiting: Waiting[];
  live: number;
}

/** Service taken so far, in tokens by share, of those that compete on one level. */
const newCounters = () => {
  const used = new Map<string, number>();
  return {
    get: (name: string): number => used.get(name) ?? 0,
    charge: (name: string, amount: number): void => {
      used.set(name, (used.get(name) ?? 0) + amount);
    },
    /** One that was idle starts level with those that wait: idleness earns no credit. */
    lift: (name: string, waiting: readonly string[]): void => {
      if (waiting.length === 0) return;
      const least = Math.min(...waiting.map((other) => used.get(other) ?? 0));
      used.set(name, Math.max(used.get(name) ?? 0, least));
    },
  };
};

/**
 * Shares out service instead of taking turns by arrival.
 *
 * With first-in-first-out, one customer's burst stands in front of everybody. Here each customer
 * has a counter of the tokens it was given, divided by its share, and the one with the lowest goes
 * next; the same among the classes of work. A request is charged its estimate when it starts and
 * the difference when its true cost is known.
 */
const newFairQueuePolicy = ({ shareOf, hasAllowance }: QueueRights): QueuePolicy => {
  const queues = new Map<Priority, Map<string, CustomerQueue>>(
    PRIORITIES.map((priority) => [priority, new Map<string, CustomerQueue>()]),
  );
  const classCounters = newCounters();
  const customerCounters = newCounters();
  let total = 0;

  const queuesOf = (priority: Priority): Map<string, CustomerQueue> =>
    queues.get(priority) as Map<string, CustomerQueue>;

  const waitingClasses = (): Priority[] =>
    PRIORITIES.filter((priority) => queuesOf(priority).size > 0);

  const counterName = (priority: Priority, customer: string): string => `${priority} ${customer}`;

  const charge = ({ priority, customer }: Ticket, tokens: number): void => {
    classCounters.charge(priority, tokens / CLASS_SHARES[priority]);
    customerCounters.charge(counterName(priority, customer), tokens / shareOf(customer));
  };

  /** One request of a customer fewer waits; the last one takes the customer out. */
  const countDown = ({ priority, customer }: Ticket): void => {
    const queue = queuesOf(priority).get(customer);
    if (!queue) return;
    total -= 1;
    queue.live -= 1;
    if (queue.live === 0) queuesOf(priority).delete(customer);
  };

  const countEligible = (priority: Priority): number =>
    [...queuesOf(priority)].reduce(
      (sum, [customer, { live }]) => sum + (hasAllowance(customer) ? live : 0),
      0,
    );

  /** Takes a customer's oldest request that was not given up meanwhile. */
  const shiftLive = ({ waiting }: CustomerQueue): Waiting | undefined => {
    let taken = waiting.shift();
    while (taken?.ticket.isGivenUp) taken = waiting.shift();
    return taken;
  };

  const takeFrom = (priority: Priority): Waiting | undefined => {
    const customers = queuesOf(priority);
    const [next] = [...customers.keys()]
      .filter(hasAllowance)
      .sort(
        (left, right) =>
          customerCounters.get(counterName(priority, left)) -
          customerCounters.get(counterName(priority, right)),
      );
    const queue = next === undefined ? undefined : customers.get(next);
    return queue && shiftLive(queue);
  };

  const take = (): Waiting | undefined => {
    const classes = waitingClasses().sort(
      (left, right) => classCounters.get(left) - classCounters.get(right),
    );
    return classes.reduce<Waiting | undefined>(
      (taken, priority) => taken ?? takeFrom(priority),
      undefined,
    );
  };

  /** Whoever did not wait until now starts level with those that do. */
  const lift = ({ priority, customer }: Ticket): void => {
    const customers = queuesOf(priority);
    if (customers.size === 0) classCounters.lift(priority, waitingClasses());
    const names = [...customers.keys()].map((waiting) => counterName(priority, waiting));
    customerCounters.lift(counterName(priority, customer), names);
  };

  class FairQueue implements Queue<Run, TicketOptions> {
    enqueue(run: Run, options?: Partial<TicketOptions>): void {
      const ticket = ticketOf(options);
      const customers = queuesOf(ticket.priority);
      const known = customers.get(ticket.customer);
      if (!known) lift(ticket);
      const queue = known ?? { waiting: [], live: 0 };
      customers.set(ticket.customer, queue);
      queue.waiting.push({ ticket, run });
      queue.live += 1;
      total += 1;
    }

    dequeue(): Run | undefined {
      const taken = take();
      if (!taken) return undefined;
      countDown(taken.ticket);
      charge(taken.ticket, taken.ticket.cost);
      return taken.run;
    }

    filter(): Run[] {
      return PRIORITIES.flatMap((priority) =>
        [...queuesOf(priority).values()].flatMap(({ waiting }) => waiting.map(({ run }) => run)),
      );
    }

    setPriority(): void {
      throw new Error('invariant broken: a ticket keeps its class');
    }

    /**
     * Counts only what may start now: p-queue takes one out whenever this is not zero. What waits
     * for its customer's limit is looked at again when a request ends or the queue is started.
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

    giveUp(ticket: Ticket): void {
      if (ticket.isGivenUp) return;
      ticket.isGivenUp = true;
      countDown(ticket);
    }

    waiting(): number {
      return total;
    }

    waitingBefore(customer: string): number {
      return PRIORITIES.reduce(
        (sum, priority) => sum + (queuesOf(priority).get(customer)?.live ?? 0),
        0,
      );
    }

    partOf(customer: string, priority: Priority): number {
      const competing = new Set([...queuesOf(priority).keys(), customer]);
      const all = [...competing].reduce((sum, name) => sum + shareOf(name), 0);
      return shareOf(customer) / all;
    }
  }
  return new FairQueuePolicy();
};

export default newFairQueuePolicy;
