import type Clock from '@cyclamengate/common/Clock';
import type { LeaseClaim } from './coordinationRecord.js';

/** A continuous period during which one incarnation of a host held a lease. */
interface Tenure {
  host: string;
  incarnation: string;
  /** Fencing token: the offset of the first claim of the tenure. */
  token: number;
  /** Sequence number of the newest claim of the tenure. */
  number: number;
  /** When this host read the newest record of the tenure, on its own monotonic clock. */
  readAt: number;
  isReleased: boolean;
}

export type Holder = Pick<Tenure, 'host' | 'incarnation' | 'token' | 'number'>;

interface Lease {
  /** Offset of the newest valid record. */
  newestValid: number;
  /** Offset of the newest record, valid or not. */
  newestRead: number;
  /** Oldest first; the last one belongs to the current holder. */
  tenures: Tenure[];
}

/** More tenures than this cannot matter within two terms. */
const MAX_TENURES = 8;

/**
 * Determines the holder of each lease from the claims in log order.
 *
 * Every host reads the same claims and accepts the same ones: a claim names the newest record that
 * its host had read, and is void if that is older than the newest valid one. So the first of two
 * racing claims is valid, and one that is appended late is void. A host reads with some delay, so in
 * its view another host's term always ends later than in that holder's view.
 *
 * The oldest records expire. A host that starts then can't tell whether the first claim that it reads
 * is a void one. It accepts it and claims nothing for a term: by then a holder has renewed its lease,
 * and names a newer record than the one that was accepted.
 *
 * @param isFollowed whether this host may claim a lease; claims for others are passed over
 */
const newLeases = (
  clock: Clock,
  termMs: number,
  isFollowed: (subject: string) => boolean = () => true,
) => {
  const leases = new Map<string, Lease>();
  /** Until then, on the monotonic clock, claims that expired unread may still be in force. */
  let unknownUntil = -Infinity;

  const getOrCreateLease = (subject: string): Lease => {
    const known = leases.get(subject);
    if (known) return known;
    const created = { newestValid: -1, newestRead: -1, tenures: [] };
    leases.set(subject, created);
    return created;
  };

  /** @returns whether the claim is valid */
  const apply = (claim: LeaseClaim, offset: number): boolean => {
    if (!isFollowed(claim.subject)) return false;
    const lease = getOrCreateLease(claim.subject);
    lease.newestRead = offset;
    // A host can't have read what comes later; such a claim would follow every record.
    if (claim.previous < lease.newestValid || claim.previous >= offset) return false;
    lease.newestValid = offset;
    const readAt = clock.now();
    const last = lease.tenures.at(-1);
    const isSameTenure = last?.incarnation === claim.incarnation && !last.isReleased;
    if (last && isSameTenure) {
      last.readAt = readAt;
      last.number = claim.number;
      last.isReleased = claim.isReleased;
      return true;
    }
    const { host, incarnation, number, isReleased } = claim;
    lease.tenures.push({ host, incarnation, number, token: offset, readAt, isReleased });
    if (lease.tenures.length > MAX_TENURES) lease.tenures.shift();
    return true;
  };

  /**
   * Whether a host may claim a lease now.
   *
   * Two hosts that alternate within one term cannot be distinguished from two that hold the lease
   * at the same time. So a host whose tenure was followed by another host's may not claim for two
   * terms.
   */
  const isFreeFor = (subject: string, host: string, marginMs: number): boolean => {
    const { tenures } = getOrCreateLease(subject);
    const last = tenures.at(-1);
    const now = clock.now();
    if (now <= unknownUntil + marginMs) return false;
    if (!last) return true;
    const isAvailable =
      last.isReleased || last.host === host || now > last.readAt + termMs + marginMs;
    const hasHeldRecently = tenures.some(
      (tenure, index) =>
        index < tenures.length - 1 &&
        tenure.host === host &&
        last.host !== host &&
        now < tenure.readAt + 2 * termMs,
    );
    return isAvailable && !hasHeldRecently;
  };

  return {
    apply,
    isFreeFor,
    /** Records that claims may have expired before this host read them. */
    noteGap: (): void => {
      unknownUntil = clock.now() + termMs;
    },
    /** Offset that the next claim must name as the newest record that was read. */
    newestOffset: (subject: string): number => getOrCreateLease(subject).newestRead,
    holder: (subject: string): Holder | null => {
      const last = getOrCreateLease(subject).tenures.at(-1);
      return last && !last.isReleased ? last : null;
    },
  };
};

export type Leases = ReturnType<typeof newLeases>;

export default newLeases;
