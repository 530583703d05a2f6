import type { Priority } from '@cyclamengate/upstreams/generation';

/** One request in the queue. */
export interface Ticket {
  customer: string;
  priority: Priority;
  /** Estimated cost, in tokens. */
  cost: number;
  /** It must have started by then; on the monotonic clock. */
  deadline: number;
  isGivenUp: boolean;
}
