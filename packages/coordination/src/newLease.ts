import type Clock from '@cyclamengate/common/Clock';
import newId from '@cyclamengate/common/newId';
import { NEVER_HELD } from './applyLease.js';
import type { Follower } from './newFollower.js';
import type { LogWriter } from './newLogWriter.js';

/** How long a claim holds, counted by its holder from before it was sent. */
export const LEASE_TERM_MS = 6_000;
/** What others wait on top, for clocks that run at different speeds. */
export const LEASE_MARGIN_MS = 500;
const RENEW_BEFORE_END_MS = 4_000;
const POLL_MS = 200;

/** A lease that this process holds now. */
export interface HeldLease {
  fence: number;
  /** On the monotonic clock. */
  deadline: number;
}

/** A lease as this process holds it, or not. */
export interface Lease {
  /** Claims and renews until the signal aborts. */
  run: (signal: AbortSignal) => Promise<void>;
  /**
   * The lease, if it is held for at least so much longer. To be asked in the same tick as the
   * write that it guards, with the write's timeout as the time needed.
   */
  holdFor: (neededMs: number) => HeldLease | null;
  /** Gives the lease back, so that a planned restart costs no term. */
  release: () => Promise<void>;
}

/** Whether a lease that was looked at before is still held, in the same tenure, for so much longer. */
export const isSameHold = (lease: Lease, before: HeldLease, neededMs: number): boolean =>
  lease.holdFor(neededMs)?.fence === before.fence;

export interface LeaseOptions {
  clock: Clock;
  follower: Follower;
  writer: LogWriter;
  name: string;
  /** Unique to this run of the process: a restarted process is another holder. */
  holder: string;
  /** How long this host lets others go first when the lease is free, in milliseconds. */
  deferMs: () => number;
}

/**
 * One lease, claimed and renewed through the log.
 *
 * The holder may be frozen past its term and resume in the middle of a step; the successor may
 * start while the log is still delivering the old holder's renewal. So the holder counts its
 * deadline from before it sent the claim, the others from when they read it, and both only look at
 * their own monotonic clock: the holder's view always ends first.
 */
export const newLease = (options: LeaseOptions): Lease => {
  const { clock, follower, writer, name, holder, deferMs } = options;
  const sentAt = new Map<string, number>();
  let held: HeldLease | null = null;
  let readAt = clock.now();
  let isStopping = false;

  const standing = () => follower.state().leases[name];

  follower.onJump(() => {
    readAt = clock.now();
  });

  follower.onFolded(({ id, record, decision }) => {
    if (record.type !== 'lease-claim' && record.type !== 'lease-release') return;
    if (record.lease !== name || !decision.accepted) return;
    readAt = clock.now();
    const sent = sentAt.get(id);
    const lease = standing();
    if (record.type === 'lease-release' || !lease || sent === undefined) {
      held = null;
      return;
    }
    held = { fence: lease.fence, deadline: sent + LEASE_TERM_MS };
  });

  const claim = async (): Promise<void> => {
    const now = clock.now();
    const id = newId('claim');
    const basedOn = standing()?.offset ?? NEVER_HELD;
    sentAt.set(id, now);
    await writer.write(
      { type: 'lease-claim', lease: name, holder, basedOn },
      now + LEASE_TERM_MS,
      id,
    );
    // A claim that lands later than this has ended before it began.
    sentAt.forEach((sent, old) => {
      if (sent + LEASE_TERM_MS < clock.now()) sentAt.delete(old);
    });
  };

  const isFree = (): boolean => {
    const lease = standing();
    if (!lease || lease.holder === '') return clock.now() >= readAt + deferMs();
    if (lease.holder === holder) return true;
    return clock.now() >= readAt + LEASE_TERM_MS + LEASE_MARGIN_MS + deferMs();
  };

  const isDueForRenewal = (): boolean =>
    held !== null && clock.now() >= held.deadline - RENEW_BEFORE_END_MS;

  const run = async (signal: AbortSignal): Promise<void> => {
    while (!signal.aborted) {
      const isMine = held !== null && held.deadline > clock.now();
      if (!isStopping && (isMine ? isDueForRenewal() : isFree())) await claim();
      await clock.sleepUntil(clock.now() + POLL_MS, signal);
    }
  };

  const holdFor = (neededMs: number): HeldLease | null =>
    held && held.deadline - neededMs > clock.now() ? held : null;

  const release = async (): Promise<void> => {
    isStopping = true;
    const lease = standing();
    if (!held || !lease) return;
    held = null;
    const deadline = clock.now() + POLL_MS * 5;
    await writer.write(
      { type: 'lease-release', lease: name, holder, basedOn: lease.offset },
      deadline,
    );
  };

  return { run, holdFor, release };
};
