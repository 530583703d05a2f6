import type Clock from '@cyclamengate/common/Clock';
import type { Homes } from '@cyclamengate/common/homes';
import type { BatchOwner } from './batchRecord.js';
import type { BatchState } from './newBatchState.js';
import type { Takeovers } from './newTakeovers.js';

/**
 * After a store outage heartbeats resume within a second, and until then no host appears to be
 * live. The record of the host that began a batch takes no longer, since it is written together
 * with the batch.
 */
const EXECUTOR_GRACE_MS = 2_000;

export interface AssignmentOptions {
  clock: Clock;
  /** Incarnation of this process. */
  incarnation: string;
  isLeaving: () => boolean;
  /**
   * The view of the batches holds everything that was written before this time on the monotonic
   * clock.
   */
  freshAt: () => number;
  /** Whether another incarnation of a host process is live. */
  isLive: (incarnation: string) => boolean;
  /** Whether an incarnation of a host process is known to be leaving or to have ended. */
  hasLeft: (host: string, incarnation: string) => boolean;
  takeovers: Takeovers;
  /** Regions whose hosts may hold the batch's requests. */
  homesOf: (batch: BatchOwner) => Homes;
}

/**
 * Subject under which a batch is owned. Batches of one model are run by one host, which knows of
 * all items that compete for the model's engines.
 */
export const subjectOf = ({ batch }: BatchState): string => batch.model ?? batch.id;

/**
 * Decides whether this host currently runs a batch.
 *
 * A batch that was sent during a store outage is run by the host that began it, and a batch that
 * was handed over is run by the host that took it, as long as that host is live: a second host
 * would generate the same texts again. The store may first get the batch from a third host, without
 * a record of who runs it; hosts that were told of the executor wait for that record. All other
 * batches are assigned by the ownership of their subject.
 */
const newAssignment =
  (options: AssignmentOptions) =>
  (state: BatchState): boolean => {
    const { clock, incarnation, isLeaving, freshAt, isLive, hasLeft, takeovers, homesOf } = options;
    const { isBegunHere, handedOverUntil, executor, executorReportedAt } = state;
    if (isLeaving() || freshAt() < handedOverUntil) return false;
    if (isBegunHere || executor?.incarnation === incarnation) return true;
    const isExecutorReported =
      executor === null && clock.now() < executorReportedAt + EXECUTOR_GRACE_MS;
    const hasOtherExecutor =
      executor !== null &&
      !hasLeft(executor.host, executor.incarnation) &&
      (clock.now() < executor.readAt + EXECUTOR_GRACE_MS || isLive(executor.incarnation));
    return (
      !isExecutorReported &&
      !hasOtherExecutor &&
      takeovers.mayBegin(subjectOf(state), homesOf(state.batch))
    );
  };

export default newAssignment;
