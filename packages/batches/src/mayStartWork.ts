/** A view older than this may lack the end of a batch. */
const MAX_VIEW_AGE_MS = 1_800;
/**
 * No batch can be ended while the store is unavailable, so an older view is good enough; beyond
 * this age another host may have resumed the batch.
 */
const MAX_VIEW_AGE_IN_OUTAGE_MS = 7_000;

/** How current a host's view of the batches is; times are on the monotonic clock. */
export interface BatchesView {
  /**
   * The view holds everything that was written before this time; minus infinity if it was never
   * complete.
   */
  freshAt: number;
  /** Whether the store currently does not answer this host's reads. */
  isStoreUnavailable: boolean;
  /** Whether another host has read the batches since `freshAt`. */
  isPartitioned: boolean;
}

/**
 * Decides whether items of a batch may start and their texts may be scored.
 *
 * On a stale view the batch may have ended long ago, and its customer would pay for unwanted work.
 * While the store is unavailable to all hosts no end can be written either: items that wait for a
 * slot or were interrupted by an engine would be idle for the whole outage although engines are
 * free, and their step would be late. If the store rejects only this host, other hosts can write
 * ends that this host does not read.
 * @param isLogged whether the store is known to have the batch; a batch that it does not have
 * cannot be ended
 */
const mayStartWork = (
  now: number,
  { freshAt, isStoreUnavailable, isPartitioned }: BatchesView,
  isLogged: boolean,
): boolean => {
  if (now < freshAt + MAX_VIEW_AGE_MS) return true;
  if (isPartitioned) return false;
  return !isLogged || (isStoreUnavailable && now < freshAt + MAX_VIEW_AGE_IN_OUTAGE_MS);
};

export default mayStartWork;
