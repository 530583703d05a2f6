import type Clock from '@cyclamengate/common/Clock';

/** Outages of the store last some seconds; beyond this another host may long have gone on. */
const KEEP_MS = 7_000;
/** After an outage hosts' heartbeats come back within their interval of half a second. */
const SETTLE_MS = 900;

export interface OwnershipOptions {
  clock: Clock;
  host: string;
  /** Live hosts in the order in which they come for a subject. */
  rank: (subject: string) => string[];
  /** Whether the view of who is live is new enough to go by. */
  isFresh: () => boolean;
}

/**
 * Which subjects this host works on: those for which it comes first among the live hosts.
 *
 * While the store is away no heartbeat arrives anywhere, and every host looks dead to every other.
 * Were all work dropped then, items that are half done would stand still for the whole outage. So
 * what a host owns it keeps for some seconds without news, and until the heartbeats are back after
 * it. A host that alone is cut off works on in vain meanwhile; the first result of an item counts.
 */
const newOwnership = ({ clock, host, rank, isFresh }: OwnershipOptions) => {
  const owned = new Set<string>();
  let staleSince: number | null = null;
  let freshSince = -Infinity;

  /** Whether the view says nothing now about who is live. */
  const isUnsettled = (): boolean => {
    const now = clock.now();
    if (!isFresh()) {
      staleSince ??= now;
      return true;
    }
    if (staleSince !== null) freshSince = now;
    staleSince = null;
    return now < freshSince + SETTLE_MS;
  };

  return (subject: string): boolean => {
    if (isUnsettled()) {
      const isKept = staleSince === null || clock.now() < staleSince + KEEP_MS;
      return isKept && owned.has(subject);
    }
    if (rank(subject)[0] === host) owned.add(subject);
    else owned.delete(subject);
    return owned.has(subject);
  };
};

export type Ownership = ReturnType<typeof newOwnership>;

export default newOwnership;
