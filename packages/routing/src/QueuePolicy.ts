import type { Priority } from '@cyclamengate/upstreams/generation';
import type { Queue, QueueAddOptions } from 'p-queue';
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

/** Per-customer weights and limits that a policy depends on. */
export interface CustomerRights {
  /** A customer's weight relative to other customers. */
  getShare: (customer: string) => number;
  /** Whether another of the customer's requests may start on this host now. */
  mayStart: (customer: string) => boolean;
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

  /** Number of requests queued ahead of a new one of this customer. */
  abstract countQueuedAhead(customer: string): number;

  /** Fraction of the slots that this customer gets if the queued customers stay the same. */
  abstract estimateSlotFraction(customer: string, priority: Priority): number;
}

/** Returns the ticket of a task. */
export const requireTicket = (options?: Partial<TicketOptions>): Ticket => {
  if (!options?.ticket) throw new Error('invariant broken: queued work has no ticket');
  return options.ticket;
};
