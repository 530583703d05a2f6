import type Clock from '@cyclamengate/common/Clock';
import newId from '@cyclamengate/common/newId';
import { NEVER_HELD } from './applyLease.js';
import type { Follower } from './newFollower.js';
import type { LogWriter } from './newLogWriter.js';

/** How long a claim is valid; the holder counts from before it sent the claim. */
export const LEASE_TERM_MS = 6_000;
/** Extra time that other processes wait after the term, to allow for clock drift. */
export const LEASE_MARGIN_MS = 500;
const RENEW_BEFORE_END_MS = 4_000;
const POLL_INTERVAL_MS = 200;

/** A lease that this process holds now. */
export interface HeldLease {
  fence: number;
  /** On the monotonic clock. */
  deadline: number;
}

/** A lease that this process claims and may hold. */
export interface Lease {
  /** Claims and renews until the signal aborts. */
  run: (signal: AbortSignal) => Promise<void>;
  /**
   * Returns the lease if it is held for at least the given time. To be called in the same tick as
   * the write that it guards, with the timeout of that write.
   */
  holdFor: (neededMs: number) => HeldLease | null;
  /** Releases the lease, so that others need not wait for its term after a planned restart. */
  release: () => Promise<void>;
}

/** Whether the lease is still held in the same tenure, for at least the given time. */
export const isStillHeld = (lease: Lease, before: HeldLease, neededMs: number): boolean =>
  lease.holdFor(neededMs)?.fence === before.fence;

export interface LeaseOptions {
  clock: Clock;
  follower: Follower;
  writer: LogWriter;
  name: string;
  /** Unique to this run of the process: a restarted process is another holder. */
  holder: string;
  /** Delay before claiming a free lease, so that preferred hosts claim first, in milliseconds. */
  claimDelayMs: () => number;
}

/**
 * One lease, claimed and renewed through the log.
 *
 * The holder may be suspended past its term and resume in the middle of an operation, and a
 * successor may start before the log has delivered the old holder's renewal. So the holder counts
 * its term from before it sent the claim and others count from when they read it, each on its own
 * monotonic clock. The term therefore always ends first in the holder's view.
 */
export const newLease = (options: LeaseOptions): Lease => {
  const { clock, follower, writer, name, holder, claimDelayMs } = options;
  const sentAtById = new Map<string, number>();
  let held: HeldLease | null = null;
  /** When the last change of the lease was read, on the monotonic clock. */
  let readAt = clock.now();
  let isStopping = false;

  const currentState = () => follower.state().leases[name];

  follower.onStateReplaced(() => {
    readAt = clock.now();
  });

  follower.onFolded(({ id, record, decision }) => {
    if (record.type !== 'lease-claim' && record.type !== 'lease-release') return;
    if (record.lease !== name || !decision.accepted) return;
    readAt = clock.now();
    const sentAt = sentAtById.get(id);
    const lease = currentState();
    if (record.type === 'lease-release' || !lease || sentAt === undefined) {
      held = null;
      return;
    }
    held = { fence: lease.fence, deadline: sentAt + LEASE_TERM_MS };
  });

  const claim = async (): Promise<void> => {
    const now = clock.now();
    const id = newId('claim');
    const basedOn = currentState()?.offset ?? NEVER_HELD;
    sentAtById.set(id, now);
    await writer.write(
      { type: 'lease-claim', lease: name, holder, basedOn },
      now + LEASE_TERM_MS,
      id,
    );
    // If a claim is appended later than this, its term has already ended.
    sentAtById.forEach((sentAt, oldId) => {
      if (sentAt + LEASE_TERM_MS < clock.now()) sentAtById.delete(oldId);
    });
  };

  const isFree = (): boolean => {
    const lease = currentState();
    if (!lease || lease.holder === '') return clock.now() >= readAt + claimDelayMs();
    if (lease.holder === holder) return true;
    return clock.now() >= readAt + LEASE_TERM_MS + LEASE_MARGIN_MS + claimDelayMs();
  };

  const isDueForRenewal = (): boolean =>
    held !== null && clock.now() >= held.deadline - RENEW_BEFORE_END_MS;

  const run = async (signal: AbortSignal): Promise<void> => {
    while (!signal.aborted) {
      const isHeld = held !== null && held.deadline > clock.now();
      if (!isStopping && (isHeld ? isDueForRenewal() : isFree())) await claim();
      await clock.sleepUntil(clock.now() + POLL_INTERVAL_MS, signal);
    }
  };

  const holdFor = (neededMs: number): HeldLease | null =>
    held && held.deadline - neededMs > clock.now() ? held : null;

  const release = async (): Promise<void> => {
    isStopping = true;
    const lease = currentState();
    if (!held || !lease) return;
    held = null;
    const deadline = clock.now() + POLL_INTERVAL_MS * 5;
    await writer.write(
      { type: 'lease-release', lease: name, holder, basedOn: lease.offset },
      deadline,
    );
  };

  return { run, holdFor, release };
};
