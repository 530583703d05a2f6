import type { Priority } from '@cyclamengate/upstreams/generation';

/** A request to be queued, with the data that queueing depends on. */
export interface Ticket {
  customer: string;
  priority: Priority;
  /** Estimated cost, in tokens. */
  cost: number;
  /** Time by which the request must have started, on the monotonic clock. */
  deadline: number;
  isCancelled: boolean;
}
