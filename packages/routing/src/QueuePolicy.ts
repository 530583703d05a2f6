import type { Priority } from '@cyclamengate/upstreams/generation';
import type { Queue, QueueAddOptions } from 'p-queue';
import type { Ticket } from './ticket.js';

/** Work as p-queue hands it to its queue. */
export type Run = () => Promise<unknown>;

/** What p-queue passes on to the queue with each piece of work. */
export interface TicketOptions extends QueueAddOptions {
  ticket: Ticket;
}

/** A request in the queue. */
export interface Waiting {
  ticket: Ticket;
  run: Run;
}

/** What every policy asks about customers. */
export interface QueueRights {
  /** A customer's weight. */
  shareOf: (customer: string) => number;
  /** Whether one more of the customer's requests may run here now. */
  hasAllowance: (customer: string) => boolean;
}

/** Who goes next. The queue itself is p-queue's; a policy gives it its order. */
export abstract class QueuePolicy {
  /** To be given to p-queue as `queueClass`. */
  abstract readonly queueClass: new () => Queue<Run, TicketOptions>;

  /** Adds to what a ticket's customer has used; negative to correct an estimate. */
  abstract charge(ticket: Ticket, tokens: number): void;

  /** A waiting request is not to start any more. */
  abstract giveUp(ticket: Ticket): void;

  /** Requests that wait, also those over their customer's limit. */
  abstract waiting(): number;

  /** Requests that stand before a new one of this customer. */
  abstract waitingBefore(customer: string): number;

  /** Part of the slots that this customer gets while the same customers wait as now. */
  abstract partOf(customer: string, priority: Priority): number;
}

/** The ticket that came with a piece of work. */
export const ticketOf = (options?: Partial<TicketOptions>): Ticket => {
  if (!options?.ticket) throw new Error('invariant broken: work is queued with its ticket');
  return options.ticket;
};
