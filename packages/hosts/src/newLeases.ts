import type Clock from '@cyclamengate/common/Clock';
import type { LeaseClaim } from './coordinationRecord.js';

/** One stretch during which a host held a lease. */
interface Tenure {
  host: string;
  incarnation: string;
  /** Offset of its first claim: the fencing token. */
  token: number;
  /** Number of its newest claim. */
  number: number;
  /** When this host read the newest record of the tenure, on its own monotonic clock. */
  readAt: number;
  isReleased: boolean;
}

export type Holder = Pick<Tenure, 'host' | 'incarnation' | 'token' | 'number'>;

interface Lease {
  /** Offset of the newest valid record. */
  newest: number;
  /** Oldest first; the last one is the holder's. */
  tenures: Tenure[];
}

/** As many tenures as can matter within two terms. */
const MOST_TENURES = 8;

/**
 * Who holds which lease, as the claims in the log's order say.
 *
 * Every host reads the same claims and takes the same ones as valid: a claim names the record it
 * follows, so of two that race the first counts, and one that lands late is void. A host reads with
 * some delay, so its own view of another's term always ends later than that holder's own view.
 */
const newLeases = (clock: Clock, termMs: number) => {
  const leases = new Map<string, Lease>();

  const leaseOf = (subject: string): Lease => {
    const known = leases.get(subject);
    if (known) return known;
    const created = { newest: -1, tenures: [] };
    leases.set(subject, created);
    return created;
  };

  /** @returns whether the claim is valid */
  const apply = (claim: LeaseClaim, offset: number): boolean => {
    const lease = leaseOf(claim.subject);
    // History may be gone: the first record that is read of a lease is taken as it stands.
    if (lease.newest !== -1 && claim.previous !== lease.newest) return false;
    lease.newest = offset;
    const readAt = clock.now();
    const last = lease.tenures.at(-1);
    const isSame = last?.incarnation === claim.incarnation && !last.isReleased;
    if (last && isSame) {
      last.readAt = readAt;
      last.number = claim.number;
      last.isReleased = claim.isReleased;
      return true;
    }
    const { host, incarnation, number, isReleased } = claim;
    lease.tenures.push({ host, incarnation, number, token: offset, readAt, isReleased });
    if (lease.tenures.length > MOST_TENURES) lease.tenures.shift();
    return true;
  };

  /**
   * Whether a host may claim a lease now.
   *
   * Two holders that take turns within a term cannot be told from two that both believe they hold
   * the lease. So a host whose earlier tenure was followed by another's stays out for two terms.
   */
  const isFreeFor = (subject: string, host: string, marginMs: number): boolean => {
    const { tenures } = leaseOf(subject);
    const last = tenures.at(-1);
    if (!last) return true;
    const now = clock.now();
    const isOver = last.isReleased || last.host === host || now > last.readAt + termMs + marginMs;
    const hasHeldBefore = tenures.some(
      (tenure, index) =>
        index < tenures.length - 1 &&
        tenure.host === host &&
        last.host !== host &&
        now < tenure.readAt + 2 * termMs,
    );
    return isOver && !hasHeldBefore;
  };

  return {
    apply,
    isFreeFor,
    /** Offset that the next claim has to follow. */
    newest: (subject: string): number => leaseOf(subject).newest,
    holder: (subject: string): Holder | null => {
      const last = leaseOf(subject).tenures.at(-1);
      return last && !last.isReleased ? last : null;
    },
  };
};

export type Leases = ReturnType<typeof newLeases>;

export default newLeases;
