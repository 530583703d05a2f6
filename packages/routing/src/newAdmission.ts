import type Clock from '@cyclamengate/common/Clock';
import { Err, Ok } from '@cyclamengate/common/outcome';
import type { Result } from '@cyclamengate/common/outcome';
import type { Member } from '@cyclamengate/coordination/member';
import type { QueuePolicyName } from '@cyclamengate/settings/hostSettings';
import type { EffectiveSettings } from '@cyclamengate/settings/newEffectiveSettings';
import PQueue from 'p-queue';
import newFairQueuePolicy from './newFairQueuePolicy.js';
import newFifoQueuePolicy from './newFifoQueuePolicy.js';
import proportionalShare from './proportionalShare.js';
import type { QueuePolicy, TicketOptions } from './QueuePolicy.js';
import { notRun } from './refusal.js';
import type { Refusal } from './refusal.js';
import type { Ticket } from './ticket.js';

/** Bounds on the delay after which a refused caller is told to retry. */
const MIN_RETRY_DELAY_MS = 1_000;
const MAX_RETRY_DELAY_MS = 60_000;
/** Weight of a new observation in the moving average of the time a request holds its slot. */
const HOLD_TIME_SMOOTHING = 0.1;
const INITIAL_HOLD_TIME_MS = 200;
/** Maximum time that a request waits while no upstream is usable. */
const NO_UPSTREAM_TIMEOUT_MS = 5_000;

export interface AdmissionOptions {
  clock: Clock;
  service: string;
  policy: QueuePolicyName;
  /** Fraction of the slots reserved for customers that run less than their share. */
  reservedPart: number;
  readSettings: () => EffectiveSettings;
  /** The other live entries, with their running requests and their demand. */
  otherEntries: () => Member[];
  /** Number of a customer's requests that run on this host, in all services. */
  countInFlight: (customer: string) => number;
}

/** Admission control for one service: enforces shares, limits and deadlines. */
const newAdmission = (options: AdmissionOptions) => {
  const { clock, service, policy, reservedPart, readSettings, otherEntries, countInFlight } =
    options;
  const runningByCustomer = new Map<string, number>();
  let localSlots = 1;
  let runningTotal = 0;

  const computeLocalLimit = (customer: string): number => {
    const limit = readSettings().customers.get(customer)?.maxInFlight ?? 1;
    const others = otherEntries().map(({ inFlight }) => inFlight[customer] ?? 0);
    return proportionalShare(limit, countInFlight(customer), others);
  };

  const getShare = (customer: string): number => readSettings().customers.get(customer)?.share ?? 1;

  /**
   * Whether a customer may take a slot now or has to leave it to other customers.
   *
   * Requests that start together end together. If one customer occupied all slots, another one that
   * arrives would wait for most of a generation even if it is next in the queue. A customer that
   * runs more than its share therefore leaves a fraction of the slots to those that run less.
   */
  const hasSlotFor = (customer: string): boolean => {
    if (runningTotal < localSlots * (1 - reservedPart)) return true;
    const active = new Set([...runningByCustomer.keys(), customer]);
    const totalShares = [...active].reduce((sum, name) => sum + getShare(name), 0);
    return (runningByCustomer.get(customer) ?? 0) < (localSlots * getShare(customer)) / totalShares;
  };

  const adjustRunning = (customer: string, change: number): void => {
    const count = (runningByCustomer.get(customer) ?? 0) + change;
    runningTotal += change;
    if (count === 0) runningByCustomer.delete(customer);
    else runningByCustomer.set(customer, count);
  };

  const newQueuePolicy = policy === 'fifo' ? newFifoQueuePolicy : newFairQueuePolicy;
  const queuePolicy = newQueuePolicy({
    getShare,
    mayStart: (customer) =>
      countInFlight(customer) < computeLocalLimit(customer) &&
      (policy === 'fifo' || hasSlotFor(customer)),
  });
  const queue = new PQueue<InstanceType<QueuePolicy['queueClass']>, TicketOptions>({
    concurrency: 1,
    queueClass: queuePolicy.queueClass,
  });
  let averageHoldMs = INITIAL_HOLD_TIME_MS;

  const demand = (): number => queuePolicy.countQueued() + queue.pending;

  /** Sets this host's concurrency to its share of the service's slots. */
  const setSlots = (slots: number): void => {
    const others = otherEntries().map((member) => member.demand[service] ?? 0);
    if (slots === 0) {
      queue.pause();
      return;
    }
    localSlots = proportionalShare(slots, demand(), others);
    queue.concurrency = localSlots;
    queue.start();
  };

  /** Estimates how long a new request would wait, from its customer's share of the slots. */
  const estimateWaitMs = ({ customer, priority }: Ticket): number => {
    if (queue.pending < queue.concurrency && queuePolicy.countQueued() === 0) return 0;
    const startsPerMs =
      (queue.concurrency / averageHoldMs) * queuePolicy.estimateSlotFraction(customer, priority);
    return (queuePolicy.countQueuedAhead(customer) + 1) / startsPerMs;
  };

  const computeRetryAt = (waitMs: number): number =>
    clock.now() + Math.min(MAX_RETRY_DELAY_MS, Math.max(MIN_RETRY_DELAY_MS, waitMs));

  const findRefusal = (ticket: Ticket): Refusal | null => {
    const { maxQueued = 1 } = readSettings().customers.get(ticket.customer) ?? {};
    const waitMs = estimateWaitMs(ticket);
    if (queuePolicy.countQueuedAhead(ticket.customer) >= maxQueued) {
      return notRun(
        'queue-full',
        'too many requests of this customer wait',
        computeRetryAt(waitMs),
      );
    }
    if (queue.isPaused || clock.now() + waitMs <= ticket.deadline) return null;
    return notRun(
      'deadline-not-reachable',
      'it would start after its deadline',
      computeRetryAt(waitMs),
    );
  };

  /** Returns the refusal for a queued ticket that is cancelled now. */
  const explainCancellation = (ticket: Ticket, signal: AbortSignal): Refusal => {
    if (signal.aborted) return notRun('caller-gone', 'the caller went away before it started');
    if (queue.isPaused)
      return notRun('no-upstream', 'no upstream can take it now', computeRetryAt(0));
    return notRun(
      'deadline-passed',
      'it could not start in time',
      computeRetryAt(estimateWaitMs(ticket)),
    );
  };

  /** Resolves when the ticket's deadline passes or its caller disconnects. */
  const waitUntilCancelled = async (ticket: Ticket, signal: AbortSignal): Promise<Refusal> => {
    const deadline = queue.isPaused
      ? Math.min(ticket.deadline, clock.now() + NO_UPSTREAM_TIMEOUT_MS)
      : ticket.deadline;
    await clock.sleepUntil(deadline, signal);
    return explainCancellation(ticket, signal);
  };

  const runInSlot = async <T>({ customer }: Ticket, work: () => Promise<T>): Promise<T> => {
    const startedAt = clock.now();
    adjustRunning(customer, 1);
    try {
      return await work();
    } finally {
      adjustRunning(customer, -1);
      const heldMs = Math.max(1, clock.now() - startedAt);
      averageHoldMs += (heldMs - averageHoldMs) * HOLD_TIME_SMOOTHING;
    }
  };

  /**
   * Runs work when a slot is free, or refuses it: at once if its deadline can't be met, otherwise
   * as soon as the deadline passes. Refused work never starts afterwards.
   */
  const run = async <T>(
    ticket: Ticket,
    work: () => Promise<T>,
    signal: AbortSignal,
  ): Promise<Result<T, Refusal>> => {
    const refusal = findRefusal(ticket);
    if (refusal) return Err(refusal);
    const started = new AbortController();
    const waitSignal = AbortSignal.any([signal, started.signal]);
    const working = queue.add(
      async () => {
        if (ticket.isCancelled) return null;
        started.abort();
        return Ok(await runInSlot(ticket, work));
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

  return {
    run,
    setSlots,
    demand,
    /** Corrects the charged estimate once the actual cost is known, in tokens. */
    correct: (ticket: Ticket, tokens: number): void =>
      queuePolicy.charge(ticket, tokens - ticket.cost),
    countQueued: queuePolicy.countQueued,
  };
};

export type Admission = ReturnType<typeof newAdmission>;

export default newAdmission;
