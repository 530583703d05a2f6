import type { Queue, QueueAddOptions } from 'p-queue';
import type { ClassShares } from './classShares.js';
import type { Ticket } from './ticket.js';

/** Work as p-queue passes it to its queue. */
export type QueuedTask = () => Promise<unknown>;

/** Options that p-queue passes to the queue along with each task. */
export interface TicketOptions extends QueueAddOptions {
  ticket: Ticket;
}

/** A request in the queue. */
export interface QueuedRequest {
  ticket: Ticket;
  run: QueuedTask;
}

/** Weights and limits that a policy depends on. */
export interface QueueRights {
  classShares: ClassShares;
  /** A customer's weight relative to other customers. */
  getShare: (customer: string) => number;
  /** Whether a request may start on this host now. */
  mayStart: (ticket: Ticket) => boolean;
}

/** How many requests of one customer and class are queued. */
export interface QueuedCount {
  priority: string;
  customer: string;
  count: number;
}

/** Decides the order in which p-queue starts queued requests. */
export abstract class QueuePolicy {
  /** The `queueClass` option for p-queue. */
  abstract readonly queueClass: new () => Queue<QueuedTask, TicketOptions>;

  /** Adds tokens to the usage of a ticket's customer; negative to correct an estimate. */
  abstract charge(ticket: Ticket, tokens: number): void;

  /** Cancels a queued request, so that it never starts. */
  abstract cancel(ticket: Ticket): void;

  /** Number of queued requests, including those over their customer's limit. */
  abstract countQueued(): number;

  /** Number of queued requests of a class, of all customers. */
  abstract countQueuedOf(priority: string): number;

  /** Number of requests queued ahead of a new one of this customer. */
  abstract countQueuedAhead(customer: string): number;

  /** Estimated number of starts before this one, if nothing more is queued. */
  abstract countStartsAhead(ticket: Ticket): number;

  /** Queued requests by class and customer. */
  abstract listQueued(): QueuedCount[];
}

/** Returns the ticket of a task. */
export const requireTicket = (options?: Partial<TicketOptions>): Ticket => {
  if (!options?.ticket) throw new Error('invariant broken: queued work has no ticket');
  return options.ticket;
};
