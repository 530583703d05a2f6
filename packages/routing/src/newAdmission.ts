import type Clock from '@cyclamengate/common/Clock';
import { Err, Ok } from '@cyclamengate/common/outcome';
import type { Result } from '@cyclamengate/common/outcome';
import type { Member } from '@cyclamengate/coordination/member';
import type { QueuePolicyName } from '@cyclamengate/settings/hostSettings';
import type { EffectiveSettings } from '@cyclamengate/settings/newEffectiveSettings';
import PQueue from 'p-queue';
import newFairQueuePolicy from './newFairQueuePolicy.js';
import newFifoQueuePolicy from './newFifoQueuePolicy.js';
import proportionalPart from './proportionalPart.js';
import type { QueuePolicy, TicketOptions } from './QueuePolicy.js';
import { notRun } from './refusal.js';
import type { Refusal } from './refusal.js';
import type { Ticket } from './ticket.js';

/** A refused caller comes back no sooner than this. */
const SHORTEST_RETRY_MS = 1_000;
const LONGEST_RETRY_MS = 60_000;
/** How much of a new observation goes into the average time a request holds its slot. */
const OBSERVATION_WEIGHT = 0.1;
const FIRST_GUESS_HOLD_MS = 200;
/** While no upstream is usable, a request waits for one only so long. */
const NO_UPSTREAM_WAIT_MS = 5_000;

export interface AdmissionOptions {
  clock: Clock;
  service: string;
  policy: QueuePolicyName;
  /** Part of the slots kept free for customers that run less than their share. */
  reservedPart: number;
  readSettings: () => EffectiveSettings;
  /** Other live entries, with what they run and want. */
  otherEntries: () => Member[];
  /** Requests of a customer that run on this host, in all services. */
  inFlightOf: (customer: string) => number;
}

/** Admits requests of one service: shares, limits, deadlines. */
const newAdmission = (options: AdmissionOptions) => {
  const { clock, service, policy, reservedPart, readSettings, otherEntries, inFlightOf } = options;
  const runningHere = new Map<string, number>();
  let slotsHere = 1;
  let pendingHere = 0;

  const limitOf = (customer: string): number => {
    const limit = readSettings().customers.get(customer)?.maxInFlight ?? 1;
    const others = otherEntries().map(({ inFlight }) => inFlight[customer] ?? 0);
    return proportionalPart(limit, inFlightOf(customer), others);
  };

  const shareOf = (customer: string): number => readSettings().customers.get(customer)?.share ?? 1;

  /**
   * Whether a customer may take a slot now, or must leave it to others.
   *
   * Slots that start together end together, so while a large customer keeps all of them busy, a
   * small one that arrives waits for most of a generation, whoever goes next then. A customer that
   * runs more than its share of the slots leaves a part of them free for those that run less.
   */
  const hasRoomFor = (customer: string): boolean => {
    if (pendingHere < slotsHere * (1 - reservedPart)) return true;
    const active = new Set([...runningHere.keys(), customer]);
    const all = [...active].reduce((sum, name) => sum + shareOf(name), 0);
    return (runningHere.get(customer) ?? 0) < (slotsHere * shareOf(customer)) / all;
  };

  const countHere = (customer: string, change: number): void => {
    const count = (runningHere.get(customer) ?? 0) + change;
    pendingHere += change;
    if (count === 0) runningHere.delete(customer);
    else runningHere.set(customer, count);
  };

  const newQueuePolicy = policy === 'fifo' ? newFifoQueuePolicy : newFairQueuePolicy;
  const order = newQueuePolicy({
    shareOf,
    hasAllowance: (customer) =>
      inFlightOf(customer) < limitOf(customer) && (policy === 'fifo' || hasRoomFor(customer)),
  });
  const queue = new PQueue<InstanceType<QueuePolicy['queueClass']>, TicketOptions>({
    concurrency: 1,
    queueClass: order.queueClass,
  });
  let holdMs = FIRST_GUESS_HOLD_MS;

  const demand = (): number => order.waiting() + queue.pending;

  /** Sets how many requests run here at once, as this host's part of the service's slots. */
  const setSlots = (slots: number): void => {
    const others = otherEntries().map((member) => member.demand[service] ?? 0);
    if (slots === 0) {
      queue.pause();
      return;
    }
    slotsHere = proportionalPart(slots, demand(), others);
    queue.concurrency = slotsHere;
    queue.start();
  };

  /** How long a new request of this customer would wait, from its share of the slots. */
  const expectedWaitMs = ({ customer, priority }: Ticket): number => {
    if (queue.pending < queue.concurrency && order.waiting() === 0) return 0;
    const startsPerMs = (queue.concurrency / holdMs) * order.partOf(customer, priority);
    return (order.waitingBefore(customer) + 1) / startsPerMs;
  };

  const retryAt = (waitMs: number): number =>
    clock.now() + Math.min(LONGEST_RETRY_MS, Math.max(SHORTEST_RETRY_MS, waitMs));

  const findRefusal = (ticket: Ticket): Refusal | null => {
    const { maxQueued = 1 } = readSettings().customers.get(ticket.customer) ?? {};
    const waitMs = expectedWaitMs(ticket);
    if (order.waitingBefore(ticket.customer) >= maxQueued) {
      return notRun('queue-full', 'too many requests of this customer wait', retryAt(waitMs));
    }
    if (queue.isPaused || clock.now() + waitMs <= ticket.deadline) return null;
    return notRun('deadline-not-reachable', 'it would start after its deadline', retryAt(waitMs));
  };

  /** Why a ticket that waited until now is given up. */
  const reasonNow = (ticket: Ticket, signal: AbortSignal): Refusal => {
    if (signal.aborted) return notRun('caller-gone', 'the caller went away before it started');
    if (queue.isPaused) return notRun('no-upstream', 'no upstream can take it now', retryAt(0));
    return notRun('deadline-passed', 'it could not start in time', retryAt(expectedWaitMs(ticket)));
  };

  /** Resolves when the ticket may no longer wait: its deadline, or its caller has gone. */
  const waitGivenUp = async (ticket: Ticket, signal: AbortSignal): Promise<Refusal> => {
    const deadline = queue.isPaused
      ? Math.min(ticket.deadline, clock.now() + NO_UPSTREAM_WAIT_MS)
      : ticket.deadline;
    await clock.sleepUntil(deadline, signal);
    return reasonNow(ticket, signal);
  };

  const hold = async <T>({ customer }: Ticket, work: () => Promise<T>): Promise<T> => {
    const startedAt = clock.now();
    countHere(customer, 1);
    try {
      return await work();
    } finally {
      countHere(customer, -1);
      const heldMs = Math.max(1, clock.now() - startedAt);
      holdMs += (heldMs - holdMs) * OBSERVATION_WEIGHT;
    }
  };

  /**
   * Runs work when its turn comes, or refuses it: at once if its deadline can't be met, else the
   * moment the deadline passes. Work that was refused never starts afterwards.
   */
  const run = async <T>(
    ticket: Ticket,
    work: () => Promise<T>,
    signal: AbortSignal,
  ): Promise<Result<T, Refusal>> => {
    const refusal = findRefusal(ticket);
    if (refusal) return Err(refusal);
    const started = new AbortController();
    const waiting = AbortSignal.any([signal, started.signal]);
    const working = queue.add(
      async () => {
        if (ticket.isGivenUp) return null;
        started.abort();
        return Ok(await hold(ticket, work));
      },
      { ticket },
    );
    const givingUp = waitGivenUp(ticket, waiting).then((reason) => {
      if (started.signal.aborted) return null;
      order.giveUp(ticket);
      return Err(reason);
    });
    const first = await Promise.race([working, givingUp]);
    return first ?? ((await working) as Result<T, Refusal>);
  };

  return {
    run,
    setSlots,
    demand,
    /** Corrects the estimate once the true cost is known, in tokens. */
    correct: (ticket: Ticket, tokens: number): void => order.charge(ticket, tokens - ticket.cost),
    waiting: order.waiting,
  };
};

export type Admission = ReturnType<typeof newAdmission>;

export default newAdmission;
