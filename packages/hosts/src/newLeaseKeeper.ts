import type Clock from '@cyclamengate/common/Clock';
import type { EventLog } from '@cyclamengate/common/newEventLog';
import type { WriteOutcome } from '@cyclamengate/store/newStoreWriter';
import type { LeaseClaim } from './coordinationRecord.js';
import type { Leases } from './newLeases.js';

/** Others wait this much longer than the term, against drift of clocks and late wake-ups. */
export const TAKEOVER_MARGIN_MS = 300;
/** A wall clock that runs ahead of the monotonic one by more than this shows a suspended host. */
const SUSPENDED_MS = 250;
/** Also how late a free lease is noticed, beside the term of three seconds. */
const CHECK_EVERY_MS = 200;
/** Hosts further down the order wait so much longer each, so that they do not all claim at once. */
const RANK_DELAY_MS = 150;
/** Claims that are remembered; one a second is made, each lives three. */
const KEPT_CLAIMS = 16;
/** A claim that was written is read back within this, at the usual pace of reading. */
const READ_BACK_MS = 450;
/** How long a fresh process only reads, so that it knows the newest claims. */
const SETTLE_MS = 500;

/** Proof that this host held a lease when it asked. */
export interface Hold {
  subject: string;
  token: number;
}

export interface LeaseKeeperOptions {
  clock: Clock;
  log: EventLog;
  leases: Leases;
  subject: string;
  host: string;
  incarnation: string;
  termMs: number;
  write: (claim: LeaseClaim, deadline: number) => Promise<WriteOutcome>;
  /** This host's place among those that may hold the lease, 0 first; null if it should not run. */
  rank: () => number | null;
  /** Whether the view of the log is new enough to claim on. */
  isFresh: () => boolean;
}

/**
 * Holds one lease for this host whenever it is its turn.
 *
 * The deadline is counted from before the claim was written, by the monotonic clock. That clock
 * stops while a machine is suspended, and the holder would wake up believing in a term that is over;
 * so the wall clock is read as well, and a jump ahead of it ends every hold. It may only shorten a
 * hold: a wall clock that is set back changes nothing.
 */
const newLeaseKeeper = (options: LeaseKeeperOptions) => {
  const { clock, log, leases, subject, host, incarnation, termMs, write, rank, isFresh } = options;
  const startedAt = clock.now();
  /** When each claim of ours was made; the fold says which of them counts. */
  const claimedAt = new Map<number, number>();
  let claims = 0;
  let pendingUntil = -Infinity;
  let wallLead = clock.wallTime() - clock.now();
  let freeSince: number | null = null;
  let isResigned = false;

  const endIfSuspended = (): void => {
    const lead = clock.wallTime() - clock.now();
    if (lead - wallLead > SUSPENDED_MS && claimedAt.size > 0) {
      log.warn('lease.suspended', { subject, aheadMs: Math.round(lead - wallLead) });
      claimedAt.clear();
    }
    wallLead = lead;
  };

  /** End of the newest claim that counts; a claim that lost a race extends nothing. */
  const deadline = (): number => {
    const holder = leases.holder(subject);
    if (holder?.incarnation !== incarnation) return -Infinity;
    return (claimedAt.get(holder.number) ?? -Infinity) + termMs;
  };

  /** @param reserveMs what must be left of the term, for the call that is to be made under it */
  const hold = (reserveMs: number): Hold | null => {
    endIfSuspended();
    const holder = leases.holder(subject);
    if (!holder || clock.now() + reserveMs >= deadline()) return null;
    return { subject, token: holder.token };
  };

  const claim = async (isReleased: boolean): Promise<void> => {
    const now = clock.now();
    claims += 1;
    const number = claims;
    if (!isReleased) claimedAt.set(number, now);
    claimedAt.delete(number - KEPT_CLAIMS);
    const previous = leases.newest(subject);
    // Until the claim is read back there is nothing new to claim on.
    pendingUntil = now + READ_BACK_MS;
    await write(
      { type: 'lease', subject, host, incarnation, number, previous, isReleased },
      now + termMs / 2,
    );
  };

  const renew = async (): Promise<void> => {
    if (clock.now() < deadline() - (termMs * 2) / 3) return;
    await claim(false);
  };

  const isDue = (): boolean => {
    const place = rank();
    const isFree = leases.isFreeFor(subject, host, TAKEOVER_MARGIN_MS);
    if (place === null || !isFree || !isFresh() || clock.now() < startedAt + SETTLE_MS) {
      freeSince = null;
      return false;
    }
    freeSince ??= clock.now();
    return clock.now() >= freeSince + place * RANK_DELAY_MS;
  };

  const step = async (): Promise<void> => {
    if (isResigned || clock.now() < pendingUntil) return;
    if (clock.now() < deadline()) await renew();
    else if (isDue()) {
      await claim(false);
      log.info('lease.claimed', { subject, previous: leases.newest(subject) });
    }
  };

  const run = async (signal: AbortSignal): Promise<void> => {
    while (!signal.aborted) {
      endIfSuspended();
      await step();
      await clock.sleepUntil(clock.now() + CHECK_EVERY_MS, signal);
    }
  };

  /** Gives the lease back, so that nobody has to wait for the term's end. */
  const resign = async (): Promise<void> => {
    isResigned = true;
    if (!hold(0)) return;
    claimedAt.clear();
    await claim(true);
    log.info('lease.released', { subject });
  };

  return { run, hold, resign };
};

export type LeaseKeeper = ReturnType<typeof newLeaseKeeper>;

export default newLeaseKeeper;
