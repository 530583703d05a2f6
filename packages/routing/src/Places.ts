import type { Ticket } from './ticket.js';

/** Decides how many requests of a service run at once; varies with how upstreams are known. */
export default abstract class Places {
  /** Whether there is any place; while there is none, requests wait for a limited time. */
  abstract isAvailable(): boolean;

  /** Whether a request may start now. */
  abstract mayStart(ticket: Ticket): boolean;

  /** Places that this host may count on for a request, to estimate its wait; at least 1. */
  abstract count(ticket: Ticket): number;

  abstract begin(ticket: Ticket): void;

  abstract end(ticket: Ticket): void;
}
