import type { ReadGap } from '@cyclamengate/store/newKeyedFollower';

/** The store deletes an entry that was not written again for this many intervals. */
const EXPIRY_INTERVALS = 3;
/** Just before and after an outage an entry may be written this often. */
const MAX_WRITES_IN_OUTAGE = 3;
/** Writes that are late or lost; of those that are due. */
const MIN_WRITTEN_PART = 0.75;

/**
 * Whether entries of live upstreams may have expired in a gap, since they could not be written either.
 *
 * The last write of an entry is at most one interval older than the gap, so none expires in a shorter
 * one. In a longer one, an entry that was written about as often as is due shows that the store
 * was there, and that this host alone did not reach it.
 *
 * @param writeIntervalMs how often upstreams write their entries
 */
const wasStoreAway = ({ durationMs, mostWrites }: ReadGap, writeIntervalMs: number): boolean => {
  if (durationMs < (EXPIRY_INTERVALS - 1) * writeIntervalMs) return false;
  if (mostWrites === null || mostWrites <= MAX_WRITES_IN_OUTAGE) return true;
  return mostWrites < (MIN_WRITTEN_PART * durationMs) / writeIntervalMs;
};

export default wasStoreAway;
