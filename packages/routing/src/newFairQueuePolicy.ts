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
  const queues = new Map<Priority, Map<string, Waiting[]>>(
    PRIORITIES.map((priority) => [priority, new Map<string, Waiting[]>()]),
  );
  const classCounters = newCounters();
  const customerCounters = newCounters();
  let total = 0;

  const queuesOf = (priority: Priority): Map<string, Waiting[]> =>
    queues.get(priority) as Map<string, Waiting[]>;

  const waitingClasses = (): Priority[] =>
    PRIORITIES.filter((priority) => queuesOf(priority).size > 0);

  const counterName = (priority: Priority, customer: string): string => `${priority} ${customer}`;

  /** Adds to what a customer and a class have used; negative to correct an estimate. */
  const charge = ({ priority, customer }: Ticket, tokens: number): void => {
    classCounters.charge(priority, tokens / CLASS_SHARES[priority]);
    customerCounters.charge(counterName(priority, customer), tokens / shareOf(customer));
  };

  const dropGivenUp = (priority: Priority): void => {
    const customers = queuesOf(priority);
    customers.forEach((waiting, customer) => {
      const live = waiting.filter(({ ticket }) => !ticket.isGivenUp);
      total -= waiting.length - live.length;
      if (live.length === 0) customers.delete(customer);
      else customers.set(customer, live);
    });
  };

  const countEligible = (priority: Priority): number =>
    [...queuesOf(priority)].reduce(
      (sum, [customer, waiting]) => sum + (hasAllowance(customer) ? waiting.length : 0),
      0,
    );

  const takeFrom = (priority: Priority): Waiting | undefined => {
    const customers = queuesOf(priority);
    const [next] = [...customers.keys()]
      .filter(hasAllowance)
      .sort(
        (left, right) =>
          customerCounters.get(counterName(priority, left)) -
          customerCounters.get(counterName(priority, right)),
      );
    if (next === undefined) return undefined;
    const waiting = customers.get(next) ?? [];
    const taken = waiting.shift();
    if (waiting.length === 0) customers.delete(next);
    return taken;
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

  class FairQueue implements Queue<Run, TicketOptions> {
    enqueue(run: Run, options?: Partial<TicketOptions>): void {
      const ticket = ticketOf(options);
      const customers = queuesOf(ticket.priority);
      if (customers.size === 0) classCounters.lift(ticket.priority, waitingClasses());
      if (!customers.has(ticket.customer)) {
        customerCounters.lift(
          counterName(ticket.priority, ticket.customer),
          [...customers.keys()].map((customer) => counterName(ticket.priority, customer)),
        );
      }
      customers.set(ticket.customer, [...(customers.get(ticket.customer) ?? []), { ticket, run }]);
      total += 1;
    }

    dequeue(): Run | undefined {
      PRIORITIES.forEach(dropGivenUp);
      const taken = take();
      if (!taken) return undefined;
      total -= 1;
      charge(taken.ticket, taken.ticket.cost);
      return taken.run;
    }

    filter(): Run[] {
      return PRIORITIES.flatMap((priority) =>
        [...queuesOf(priority).values()].flat().map(({ run }) => run),
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
      PRIORITIES.forEach(dropGivenUp);
      return PRIORITIES.reduce((sum, priority) => sum + countEligible(priority), 0);
    }
  }

  class FairQueuePolicy extends QueuePolicy {
    readonly queueClass = FairQueue;

    charge(ticket: Ticket, tokens: number): void {
      charge(ticket, tokens);
    }

    waiting(): number {
      return total;
    }

    waitingBefore(customer: string): number {
      return PRIORITIES.reduce(
        (sum, priority) => sum + (queuesOf(priority).get(customer)?.length ?? 0),
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
