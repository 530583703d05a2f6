import type Clock from '@cyclamengate/common/Clock';
import { describeHomes } from '@cyclamengate/common/homes';
import type { Homes } from '@cyclamengate/common/homes';

/** Outages of the store last some seconds; after a longer time other hosts may have taken over. */
const MAX_STALE_OWNERSHIP_MS = 7_000;
/** Hosts write heartbeats again within their interval of half a second after an outage. */
const HEARTBEAT_RECOVERY_MS = 900;

export interface OwnershipOptions {
  clock: Clock;
  host: string;
  /** Live hosts in some regions ranked for a subject; the first one owns it. */
  rank: (subject: string, homes: Homes) => string[];
  /** Whether the view of the live hosts is recent enough to decide ownership. */
  isFresh: () => boolean;
}

/**
 * Decides which subjects this host owns: those for which it ranks first among the live hosts.
 *
 * While the store is unavailable no heartbeats arrive, and every host looks dead to all others.
 * Dropping all work would suspend unfinished items for the whole outage. So a host keeps what it
 * owns for some seconds on a stale view, and until heartbeats have resumed after the outage. If
 * only this host is partitioned, its work is duplicated meanwhile; only the first result of an item
 * counts.
 */
const newOwnership = ({ clock, host, rank, isFresh }: OwnershipOptions) => {
  const owned = new Set<string>();
  let staleSince: number | null = null;
  let freshSince = -Infinity;

  /** Whether the view is stale, or hosts may not have written heartbeats since it became fresh. */
  const isViewUnreliable = (): boolean => {
    const now = clock.now();
    if (!isFresh()) {
      staleSince ??= now;
      return true;
    }
    if (staleSince !== null) freshSince = now;
    staleSince = null;
    return now < freshSince + HEARTBEAT_RECOVERY_MS;
  };

  /** @param homes regions whose hosts may own the subject */
  return (subject: string, homes: Homes = null): boolean => {
    const key = `${subject} ${describeHomes(homes)}`;
    if (isViewUnreliable()) {
      const isWithinStaleLimit =
        staleSince === null || clock.now() < staleSince + MAX_STALE_OWNERSHIP_MS;
      return isWithinStaleLimit && owned.has(key);
    }
    if (rank(subject, homes)[0] === host) owned.add(key);
    else owned.delete(key);
    return owned.has(key);
  };
};

export type Ownership = ReturnType<typeof newOwnership>;

export default newOwnership;
