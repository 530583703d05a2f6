/** A request to be queued, with the data that queueing depends on. */
export interface Ticket {
  customer: string;
  /** Class of work; the classes and their shares are given to the queue. */
  priority: string;
  /** Estimated cost, in a unit of the queue: tokens, or milliseconds in a place. */
  cost: number;
  /** Time by which the request must have started, on the monotonic clock; infinite for none. */
  deadline: number;
  isCancelled: boolean;
  /** Requests with the same pool compete for the same places; undefined for all places. */
  pool?: string;
  /** Within a class, the lowest goes first whatever the shares; undefined counts as 0. */
  order?: number;
}
