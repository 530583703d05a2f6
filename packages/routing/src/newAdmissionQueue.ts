import type Clock from '@cyclamengate/common/Clock';
import { Err, Ok } from '@cyclamengate/common/outcome';
import type { Result } from '@cyclamengate/common/outcome';
import PQueue from 'p-queue';
import type { ClassShares } from './classShares.js';
import newFairQueuePolicy from './newFairQueuePolicy.js';
import newFifoQueuePolicy from './newFifoQueuePolicy.js';
import newHoldTimes from './newHoldTimes.js';
import newReturnTimes from './newReturnTimes.js';
import type { ReturnDelays } from './newReturnTimes.js';
import type Places from './Places.js';
import type { QueuedCount, QueuePolicy, TicketOptions } from './QueuePolicy.js';
import { notRun } from './refusal.js';
import type { Refusal } from './refusal.js';
import type { Ticket } from './ticket.js';

/** Maximum time that a request waits while there is no place at all. */
const NO_PLACE_TIMEOUT_MS = 5_000;

export interface AdmissionQueueOptions {
  clock: Clock;
  policy: 'fair' | 'fifo';
  classShares: ClassShares;
  /** The class whose waiting requests don't keep a request of another class from a free place. */
  yieldingClass: string | null;
  places: Places;
  /** A customer's weight relative to other customers. */
  getShare: (customer: string) => number;
  /** Maximum number of a customer's waiting requests on this host. */
  getMaxQueued: (customer: string) => number;
  /** Time that a request holds its place, until some were measured. */
  initialHoldMs: number;
  returnDelays: ReturnDelays;
  random?: () => number;
}

/** Admission to the places of one service: enforces shares and deadlines. */
const newAdmissionQueue = (options: AdmissionQueueOptions) => {
  const { clock, policy, classShares, yieldingClass, places, getShare, getMaxQueued } = options;
  const newQueuePolicy = policy === 'fifo' ? newFifoQueuePolicy : newFairQueuePolicy;
  const mayStart = (ticket: Ticket): boolean => places.mayStart(ticket);
  const queuePolicy = newQueuePolicy({ classShares, getShare, mayStart });
  // What may start is decided by `places` alone.
  const queue = new PQueue<InstanceType<QueuePolicy['queueClass']>, TicketOptions>({
    queueClass: queuePolicy.queueClass,
  });
  const holdTimes = newHoldTimes(options.initialHoldMs);
  const assignReturn = newReturnTimes(clock, options.returnDelays, options.random);
  let running = 0;

  /** Work of the yielding class has places of its own, and holds them for another time. */
  const kindOf = ({ priority }: Pick<Ticket, 'priority'>): string =>
    priority === yieldingClass ? 'yielding' : 'usual';

  const expectHoldMs = (priority: string): number => holdTimes.get(kindOf({ priority }));

  /** Whether a request that may start would pass others that wait for the same places. */
  const hasQueuedBefore = ({ priority }: Ticket): boolean => {
    const yielding =
      yieldingClass === null || priority === yieldingClass
        ? 0
        : queuePolicy.countQueuedOf(yieldingClass);
    return queuePolicy.countQueued() > yielding;
  };

  /** Time between two moments at which a place becomes free for such a request. */
  const computeIntervalMs = (ticket: Ticket): number =>
    expectHoldMs(ticket.priority) / places.count(ticket);

  /** Estimates how long a new request would wait. */
  const estimateWaitMs = (ticket: Ticket): number => {
    if (!hasQueuedBefore(ticket) && mayStart(ticket)) return 0;
    return (queuePolicy.countStartsAhead(ticket) + 1) * computeIntervalMs(ticket);
  };

  const computeRetryAt = (ticket: Ticket, waitMs: number): number =>
    assignReturn(ticket.customer, waitMs, computeIntervalMs(ticket));

  const refuse = (code: Refusal['code'], message: string, ticket: Ticket, waitMs: number) =>
    notRun(code, message, computeRetryAt(ticket, waitMs));

  /**
   * Waiting requests that count against a customer's limit. Work of the yielding class counts apart:
   * a large batch would otherwise have its customer's own calls refused.
   */
  const countOwnQueued = ({ customer, priority }: Ticket): number => {
    if (yieldingClass === null) return queuePolicy.countQueuedAhead(customer);
    return queuePolicy
      .listQueued()
      .filter((queued) => queued.customer === customer && kindOf(queued) === kindOf({ priority }))
      .reduce((sum, { count }) => sum + count, 0);
  };

  const findRefusal = (ticket: Ticket): Refusal | null => {
    const waitMs = estimateWaitMs(ticket);
    if (countOwnQueued(ticket) >= getMaxQueued(ticket.customer)) {
      return refuse('queue-full', 'too many requests of this customer wait', ticket, waitMs);
    }
    if (waitMs === 0 || !places.isAvailable()) return null;
    if (clock.now() + waitMs <= ticket.deadline) return null;
    return refuse('deadline-not-reachable', 'it would start after its deadline', ticket, waitMs);
  };

  /** Returns the refusal for a queued ticket that is cancelled now. */
  const explainCancellation = (ticket: Ticket, signal: AbortSignal): Refusal => {
    if (signal.aborted) return notRun('caller-gone', 'the caller went away before it started');
    if (!places.isAvailable())
      return refuse('no-upstream', 'no upstream can take it now', ticket, 0);
    const message = 'it could not start in time';
    return refuse('deadline-passed', message, ticket, estimateWaitMs(ticket));
  };

  /** Resolves when the ticket's deadline passes or its caller disconnects. */
  const waitUntilCancelled = async (ticket: Ticket, signal: AbortSignal): Promise<Refusal> => {
    const deadline = places.isAvailable()
      ? ticket.deadline
      : Math.min(ticket.deadline, clock.now() + NO_PLACE_TIMEOUT_MS);
    await clock.sleepUntil(deadline, signal);
    return explainCancellation(ticket, signal);
  };

  const runInPlace = async <T>(ticket: Ticket, work: () => Promise<T>): Promise<T> => {
    const startedAt = clock.now();
    running += 1;
    places.begin(ticket);
    try {
      return await work();
    } finally {
      running -= 1;
      places.end(ticket);
      holdTimes.observe(kindOf(ticket), clock.now() - startedAt);
    }
  };

  /** Starts what may start; called when places may have become free elsewhere. */
  const refresh = (): void => {
    // p-queue looks for what may start whenever its concurrency is set.
    queue.concurrency = Number.POSITIVE_INFINITY;
  };

  const runAtOnce = async <T>(
    ticket: Ticket,
    work: () => Promise<T>,
  ): Promise<Result<T, Refusal>> => {
    queuePolicy.charge(ticket, ticket.cost);
    try {
      return Ok(await runInPlace(ticket, work));
    } finally {
      if (queuePolicy.countQueued() > 0) refresh();
    }
  };

  const runQueued = async <T>(
    ticket: Ticket,
    work: () => Promise<T>,
    signal: AbortSignal,
  ): Promise<Result<T, Refusal>> => {
    const started = new AbortController();
    const waitSignal = AbortSignal.any([signal, started.signal]);
    const working = queue.add(
      async () => {
        if (ticket.isCancelled) return null;
        started.abort();
        return Ok(await runInPlace(ticket, work));
      },
      { ticket },
    );
    const cancelling = waitUntilCancelled(ticket, waitSignal).then((reason) => {
      if (started.signal.aborted) return null;
      queuePolicy.cancel(ticket);
      return Err(reason);
    });
    const first = await Promise.race([working, cancelling]);
    return first ?? ((await working) as Result<T, Refusal>);
  };

  /**
   * Runs work when there is a place for it, or refuses it: at once if its deadline can't be met,
   * otherwise as soon as the deadline passes. Refused work never starts afterwards.
   */
  const run = async <T>(
    ticket: Ticket,
    work: () => Promise<T>,
    signal: AbortSignal,
  ): Promise<Result<T, Refusal>> => {
    if (!hasQueuedBefore(ticket) && mayStart(ticket)) return runAtOnce(ticket, work);
    const refusal = findRefusal(ticket);
    return refusal ? Err(refusal) : runQueued(ticket, work, signal);
  };

  return {
    run,
    refresh,
    /** Number of requests that run or wait. */
    demand: (): number => queuePolicy.countQueued() + running,
    /** Corrects the charged estimate once the actual cost is known. */
    correct: (ticket: Ticket, cost: number): void => queuePolicy.charge(ticket, cost - ticket.cost),
    countQueued: (): number => queuePolicy.countQueued(),
    countQueuedOf: (priority: string): number => queuePolicy.countQueuedOf(priority),
    listQueued: (): QueuedCount[] => queuePolicy.listQueued(),
    countStartsAhead: (ticket: Ticket): number => queuePolicy.countStartsAhead(ticket),
    estimateWaitMs,
    /** When the caller of a request that was not run elsewhere may return, on the monotonic clock. */
    computeRetryAt,
    expectHoldMs,
  };
};

export type AdmissionQueue = ReturnType<typeof newAdmissionQueue>;

export default newAdmissionQueue;
