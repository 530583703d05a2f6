import type Clock from '@cyclamengate/common/Clock';
import type { BatchState } from './newBatches.js';
import type { Takeovers } from './newTakeovers.js';

/**
 * After an outage of the store heartbeats are back within a second, and until then nobody looks live;
 * so is the word of a host that began a batch, which it writes together with the batch.
 */
const BEGUN_GRACE_MS = 2_000;

export interface AssignmentOptions {
  clock: Clock;
  /** This run of the process. */
  incarnation: string;
  isLeaving: () => boolean;
  /** The view of the batches holds all that was written before; on the monotonic clock. */
  freshAt: () => number;
  /** Whether another run of a host's process is live. */
  isLive: (incarnation: string) => boolean;
  /** Whether a run of a host's process is known to leave or to be gone. */
  hasLeft: (host: string, incarnation: string) => boolean;
  takeovers: Takeovers;
}

/** Batches of one model are run by one host, which sees all that compete for its engines. */
export const subjectOf = ({ batch }: BatchState): string => batch.model ?? batch.id;

/**
 * Whether this host runs a batch now.
 *
 * A batch that came while the store was away is run by the host that began it, and one that was
 * handed over by the host that took it, as long as that host lives: another one would make the same
 * texts a second time. The store may get it from a third host first, without a word of who runs it;
 * whoever was told waits for that word. All others go by their subject.
 */
const newAssignment =
  ({ clock, incarnation, isLeaving, freshAt, isLive, hasLeft, takeovers }: AssignmentOptions) =>
  (state: BatchState): boolean => {
    const { isBegunHere, handedOverUntil, begunBy, beginnerHeardAt } = state;
    if (isLeaving() || freshAt() < handedOverUntil) return false;
    if (isBegunHere || begunBy?.incarnation === incarnation) return true;
    const isHeardOf = begunBy === null && clock.now() < beginnerHeardAt + BEGUN_GRACE_MS;
    const isBegunElsewhere =
      begunBy !== null &&
      !hasLeft(begunBy.host, begunBy.incarnation) &&
      (clock.now() < begunBy.readAt + BEGUN_GRACE_MS || isLive(begunBy.incarnation));
    return !isHeardOf && !isBegunElsewhere && takeovers.mayBegin(subjectOf(state));
  };

export default newAssignment;
