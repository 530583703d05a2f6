import type { Queue } from 'p-queue';
import { QueuePolicy, requireTicket } from './QueuePolicy.js';
import type { Ticket } from './ticket.js';
import type {
  QueuedCount,
  QueuedRequest,
  QueuedTask,
  QueueRights,
  TicketOptions,
} from './QueuePolicy.js';

/** First in, first out over all customers; the baseline for comparison with fair queueing. */
const newFifoQueuePolicy = ({ mayStart }: Pick<QueueRights, 'mayStart'>): QueuePolicy => {
  let queue: QueuedRequest[] = [];

  const eligible = (): QueuedRequest[] => {
    queue = queue.filter(({ ticket }) => !ticket.isCancelled);
    return queue.filter(({ ticket }) => mayStart(ticket));
  };

  /**
   * The request that counted as startable when p-queue last asked for the size. It starts although
   * its place may be gone by now: p-queue runs what it has counted.
   */
  let counted: QueuedRequest | undefined;

  class FifoQueue implements Queue<QueuedTask, TicketOptions> {
    enqueue(run: QueuedTask, options?: Partial<TicketOptions>): void {
      queue.push({ ticket: requireTicket(options), run });
    }

    dequeue(): QueuedTask | undefined {
      const next = eligible()[0] ?? counted;
      queue = queue.filter((request) => request !== next);
      return next?.run;
    }

    filter(): QueuedTask[] {
      return queue.map(({ run }) => run);
    }

    setPriority(): void {
      throw new Error("invariant broken: a queued ticket's position is fixed");
    }

    get size(): number {
      const startable = eligible();
      [counted] = startable;
      return startable.length;
    }
  }

  class FifoQueuePolicy extends QueuePolicy {
    readonly queueClass = FifoQueue;

    charge(): void {}

    cancel(ticket: Ticket): void {
      ticket.isCancelled = true;
    }

    countQueued(): number {
      return queue.length;
    }

    countQueuedOf(priority: string): number {
      return queue.filter(({ ticket }) => ticket.priority === priority).length;
    }

    countQueuedAhead(): number {
      return queue.length;
    }

    countStartsAhead(): number {
      return queue.length;
    }

    listQueued(): QueuedCount[] {
      return queue.map(({ ticket: { priority, customer } }) => ({ priority, customer, count: 1 }));
    }
  }
  return new FifoQueuePolicy();
};

export default newFifoQueuePolicy;
