import { ACCEPTED, rejected } from '@cyclamengate/settings/decision';
import type { Decision } from '@cyclamengate/settings/decision';
import type { LeaseClaim, LeaseRelease } from './leaseRecords.js';
import type { LeaseStates } from './leaseState.js';

/** The decision on a claim by the current holder. */
export const RENEWED: Decision = { accepted: true, reason: 'renewed' };

/** The `basedOn` offset of the first claim of a lease. */
export const NEVER_HELD = -1;

const findStaleReason = (leases: LeaseStates, record: LeaseClaim | LeaseRelease): string | null => {
  const current = leases[record.lease]?.offset ?? NEVER_HELD;
  if (current === record.basedOn) return null;
  return `lease ${record.lease} moved at ${current}, the record is based on ${record.basedOn}`;
};

/**
 * Decides a claim. Of concurrent claims based on the same offset, the first one in the log is
 * accepted. All others, and claims that are appended long after they were sent, are based on an
 * outdated offset and are rejected.
 */
export const applyLeaseClaim = (
  leases: LeaseStates,
  offset: number,
  claim: LeaseClaim,
): Decision => {
  const staleReason = findStaleReason(leases, claim);
  if (staleReason) return rejected(staleReason);
  const current = leases[claim.lease];
  const isRenewal = current !== undefined && current.holder === claim.holder;
  const fence = isRenewal ? current.fence : offset;
  leases[claim.lease] = { holder: claim.holder, fence, offset };
  return isRenewal ? RENEWED : ACCEPTED;
};

/** Releases a lease; only its holder can release it. */
export const applyLeaseRelease = (
  leases: LeaseStates,
  offset: number,
  release: LeaseRelease,
): Decision => {
  const staleReason = findStaleReason(leases, release);
  if (staleReason) return rejected(staleReason);
  const current = leases[release.lease];
  if (!current || current.holder !== release.holder) return rejected('released by another');
  leases[release.lease] = { holder: '', fence: current.fence, offset };
  return ACCEPTED;
};
