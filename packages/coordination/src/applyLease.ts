import { ACCEPTED, rejected } from '@cyclamengate/settings/decision';
import type { Decision } from '@cyclamengate/settings/decision';
import type { LeaseClaim, LeaseRelease } from './leaseRecords.js';
import type { LeaseStates } from './leaseState.js';

/** A claim by the one who holds the lease already. */
export const RENEWED: Decision = { accepted: true, reason: 'renewed' };

/** What a claim of a lease nobody has held yet is based on. */
export const NEVER_HELD = -1;

const findStale = (leases: LeaseStates, record: LeaseClaim | LeaseRelease): string | null => {
  const standing = leases[record.lease]?.offset ?? NEVER_HELD;
  if (standing === record.basedOn) return null;
  return `lease ${record.lease} moved at ${standing}, the record is based on ${record.basedOn}`;
};

/**
 * Decides a claim. Two claimants at once, or a claim that lands long after it was sent, are based
 * on an offset that the lease has left behind: the first one in the log stands, all others are void.
 */
export const applyLeaseClaim = (
  leases: LeaseStates,
  offset: number,
  claim: LeaseClaim,
): Decision => {
  const stale = findStale(leases, claim);
  if (stale) return rejected(stale);
  const before = leases[claim.lease];
  const isRenewal = before !== undefined && before.holder === claim.holder;
  const fence = isRenewal ? before.fence : offset;
  leases[claim.lease] = { holder: claim.holder, fence, offset };
  return isRenewal ? RENEWED : ACCEPTED;
};

/** Gives a lease back; only its holder's word counts. */
export const applyLeaseRelease = (
  leases: LeaseStates,
  offset: number,
  release: LeaseRelease,
): Decision => {
  const stale = findStale(leases, release);
  if (stale) return rejected(stale);
  const before = leases[release.lease];
  if (!before || before.holder !== release.holder) return rejected('released by another');
  leases[release.lease] = { holder: '', fence: before.fence, offset };
  return ACCEPTED;
};
