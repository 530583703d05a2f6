import type Clock from '@cyclamengate/common/Clock';
import type { Follower } from './newFollower.js';
import type { Lease } from './newLease.js';
import type { LogWriter } from './newLogWriter.js';

const CHECK_INTERVAL_MS = 1_000;
const WRITE_TIMEOUT_MS = 5_000;
/** A checkpoint is due after this many records, … */
export const MAX_RECORDS_BETWEEN_CHECKPOINTS = 2_000;
/** … when this fraction of the records that the log retains is newer than the last checkpoint, … */
const MAX_CHECKPOINT_AGE_RATIO = 0.4;
/** … or after this time, even without new records, since the log also limits retention by time. */
export const CHECKPOINT_INTERVAL_MS = 60_000;

/**
 * Writes the state to the log well before the records that produced it exceed the log's retention.
 * A checkpoint names the offset that it covers and readers apply all later records on top of it, so
 * a checkpoint that is appended after a newer change does not revert that change.
 */
const writeCheckpoints = async (
  clock: Clock,
  follower: Follower,
  writer: LogWriter,
  lease: Lease,
  signal: AbortSignal,
): Promise<void> => {
  let coveredOffset = -1;
  let writtenOffset = -1;
  let dueAt = clock.now();
  follower.onFolded(({ record, offset }) => {
    if (record.type !== 'checkpoint') return;
    writtenOffset = offset;
    coveredOffset = Math.max(coveredOffset, record.covers);
    dueAt = clock.now() + CHECKPOINT_INTERVAL_MS;
  });

  const isDue = (): boolean => {
    const { offset } = follower.state();
    if (offset < 0) return false;
    const first = follower.logFirst();
    const isNearRetentionLimit =
      first > 0 && writtenOffset < first + (offset - first) * (1 - MAX_CHECKPOINT_AGE_RATIO);
    return (
      isNearRetentionLimit ||
      offset - coveredOffset >= MAX_RECORDS_BETWEEN_CHECKPOINTS ||
      clock.now() >= dueAt
    );
  };

  while (!signal.aborted) {
    if (isDue() && lease.holdFor(0)) {
      const state = structuredClone(follower.state());
      await writer.write(
        { type: 'checkpoint', covers: state.offset, state },
        clock.now() + WRITE_TIMEOUT_MS,
      );
    }
    await clock.sleepUntil(clock.now() + CHECK_INTERVAL_MS, signal);
  }
};

export default writeCheckpoints;
