import type { Queue } from 'p-queue';
import { QueuePolicy, ticketOf } from './QueuePolicy.js';
import type { Ticket } from './ticket.js';
import type { QueueRights, Run, TicketOptions, Waiting } from './QueuePolicy.js';

/** First in, first out over all customers; the baseline that fair queueing is measured against. */
const newFifoQueuePolicy = ({ hasAllowance }: Pick<QueueRights, 'hasAllowance'>): QueuePolicy => {
  let queue: Waiting[] = [];

  const eligible = (): Waiting[] => {
    queue = queue.filter(({ ticket }) => !ticket.isGivenUp);
    return queue.filter(({ ticket }) => hasAllowance(ticket.customer));
  };

  class FifoQueue implements Queue<Run, TicketOptions> {
    enqueue(run: Run, options?: Partial<TicketOptions>): void {
      queue.push({ ticket: ticketOf(options), run });
    }

    dequeue(): Run | undefined {
      const [next] = eligible();
      queue = queue.filter((waiting) => waiting !== next);
      return next?.run;
    }

    filter(): Run[] {
      return queue.map(({ run }) => run);
    }

    setPriority(): void {
      throw new Error('invariant broken: a ticket keeps its place');
    }

    get size(): number {
      return eligible().length;
    }
  }

  class FifoQueuePolicy extends QueuePolicy {
    readonly queueClass = FifoQueue;

    charge(): void {}

    giveUp(ticket: Ticket): void {
      ticket.isGivenUp = true;
    }

    waiting(): number {
      return queue.length;
    }

    waitingBefore(): number {
      return queue.length;
    }

    partOf(): number {
      return 1;
    }
  }
  return new FifoQueuePolicy();
};

export default newFifoQueuePolicy;
