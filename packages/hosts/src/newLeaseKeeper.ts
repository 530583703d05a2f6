import type Clock from '@cyclamengate/common/Clock';
import type { EventLog } from '@cyclamengate/common/newEventLog';
import type { WriteOutcome } from '@cyclamengate/store/newStoreWriter';
import type { LeaseClaim } from './coordinationRecord.js';
import type { Leases } from './newLeases.js';

/** Extra time that other hosts wait after the term, to allow for clock drift and late timers. */
export const TAKEOVER_MARGIN_MS = 300;
/** If the wall clock gains more than this on the monotonic clock, the host was suspended. */
const MAX_WALL_CLOCK_LEAD_MS = 250;
/** Also the delay until a free lease is noticed, which adds to the term of three seconds. */
const CHECK_INTERVAL_MS = 200;
/**
 * Hosts from this rank on check less often: they claim only if all hosts before them do not, and an
 * idle host spends a good part of its processor time on such checks.
 */
const FIRST_DISTANT_RANK = 8;
const DISTANT_CHECK_INTERVAL_MS = 1_000;
/** Additional delay for each rank, so that hosts do not all claim a free lease at once. */
const CLAIM_DELAY_PER_RANK_MS = 150;
/** A holder makes one claim per second, and each is valid for three seconds. */
const MAX_TRACKED_CLAIMS = 16;
/** A written claim is read from the log within this time at the usual read interval. */
const CLAIM_READ_TIMEOUT_MS = 450;
/** A new process only reads for this long, so that it knows the newest claims before it claims. */
const STARTUP_READ_MS = 500;

/** A lease that this host held at the time of the call, with its fencing token. */
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
  /** This host's rank among the candidates for the lease, from 0; null if it is no candidate. */
  rank: () => number | null;
  /** Whether the view of the log is recent enough to base a claim on. */
  isFresh: () => boolean;
}

/**
 * Claims and renews one lease for this host according to its rank.
 *
 * The deadline is counted on the monotonic clock from before the claim was written. That clock
 * stops while a machine is suspended, so a resumed holder could act on a term that has ended.
 * Therefore a jump of the wall clock ahead of the monotonic clock invalidates all claims. The wall
 * clock can only shorten a hold: setting it back changes nothing.
 */
const newLeaseKeeper = (options: LeaseKeeperOptions) => {
  const { clock, log, leases, subject, host, incarnation, termMs, write, rank, isFresh } = options;
  const startedAt = clock.now();
  /** When each claim of this host was made; `leases` determines which of them is valid. */
  const claimedAt = new Map<number, number>();
  let claimCount = 0;
  let claimPendingUntil = -Infinity;
  let wallClockLeadMs = clock.wallTime() - clock.now();
  let freeSince: number | null = null;
  let isResigned = false;

  const invalidateClaimsIfSuspended = (): void => {
    const leadMs = clock.wallTime() - clock.now();
    if (leadMs - wallClockLeadMs > MAX_WALL_CLOCK_LEAD_MS && claimedAt.size > 0) {
      log.warn('lease.suspended', { subject, aheadMs: Math.round(leadMs - wallClockLeadMs) });
      claimedAt.clear();
    }
    wallClockLeadMs = leadMs;
  };

  /** End of the newest valid claim; a claim that lost a race does not extend the term. */
  const deadline = (): number => {
    const holder = leases.holder(subject);
    if (holder?.incarnation !== incarnation) return -Infinity;
    return (claimedAt.get(holder.number) ?? -Infinity) + termMs;
  };

  /** @param reserveMs remaining term required by the call that the lease protects */
  const hold = (reserveMs: number): Hold | null => {
    invalidateClaimsIfSuspended();
    const holder = leases.holder(subject);
    if (!holder || clock.now() + reserveMs >= deadline()) return null;
    return { subject, token: holder.token };
  };

  const claim = async (isReleased: boolean): Promise<void> => {
    const now = clock.now();
    claimCount += 1;
    const number = claimCount;
    if (!isReleased) claimedAt.set(number, now);
    claimedAt.delete(number - MAX_TRACKED_CLAIMS);
    const previous = leases.newestOffset(subject);
    // A further claim must follow this one, so it waits until this one has been read from the log.
    claimPendingUntil = now + CLAIM_READ_TIMEOUT_MS;
    await write(
      { type: 'lease', subject, host, incarnation, number, previous, isReleased },
      now + termMs / 2,
    );
  };

  const renew = async (): Promise<void> => {
    if (clock.now() < deadline() - (termMs * 2) / 3) return;
    await claim(false);
  };

  const isClaimDue = (): boolean => {
    const ownRank = rank();
    const isFree = leases.isFreeFor(subject, host, TAKEOVER_MARGIN_MS);
    if (ownRank === null || !isFree || !isFresh() || clock.now() < startedAt + STARTUP_READ_MS) {
      freeSince = null;
      return false;
    }
    freeSince ??= clock.now();
    return clock.now() >= freeSince + ownRank * CLAIM_DELAY_PER_RANK_MS;
  };

  const step = async (): Promise<void> => {
    if (isResigned || clock.now() < claimPendingUntil) return;
    if (clock.now() < deadline()) await renew();
    else if (isClaimDue()) {
      await claim(false);
      log.info('lease.claimed', { subject, previous: leases.newestOffset(subject) });
    }
  };

  const checkIntervalMs = (): number => {
    const isDistant = (rank() ?? 0) >= FIRST_DISTANT_RANK && clock.now() >= deadline();
    return isDistant ? DISTANT_CHECK_INTERVAL_MS : CHECK_INTERVAL_MS;
  };

  const run = async (signal: AbortSignal): Promise<void> => {
    while (!signal.aborted) {
      invalidateClaimsIfSuspended();
      await step();
      await clock.sleepUntil(clock.now() + checkIntervalMs(), signal);
    }
  };

  /** Releases the lease, so that other hosts need not wait for the term to end. */
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
