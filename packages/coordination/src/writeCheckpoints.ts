import type Clock from '@cyclamengate/common/Clock';
import type { Follower } from './newFollower.js';
import type { Lease } from './newLease.js';
import type { LogWriter } from './newLogWriter.js';

const CHECK_EVERY_MS = 1_000;
const WRITE_TIMEOUT_MS = 5_000;
/** A checkpoint is due after so many records, … */
export const RECORDS_BETWEEN_CHECKPOINTS = 2_000;
/** … when it has moved through so much of what the log keeps, … */
const RETENTION_PART = 0.4;
/** … or after this time, also when nobody changes anything: retention goes by time as well. */
export const CHECKPOINT_EVERY_MS = 60_000;

/**
 * Writes the state into the log well before retention takes the records it came from. The
 * checkpoint names the offset it covers and readers apply the later records over it, so one that
 * lands after a newer change takes nothing back.
 */
const writeCheckpoints = async (
  clock: Clock,
  follower: Follower,
  writer: LogWriter,
  lease: Lease,
  signal: AbortSignal,
): Promise<void> => {
  let covered = -1;
  let writtenAt = -1;
  let dueAt = clock.now();
  follower.onFolded(({ record, offset }) => {
    if (record.type !== 'checkpoint') return;
    writtenAt = offset;
    covered = Math.max(covered, record.covers);
    dueAt = clock.now() + CHECKPOINT_EVERY_MS;
  });

  const isDue = (): boolean => {
    const { offset } = follower.state();
    if (offset < 0) return false;
    const first = follower.logFirst();
    const isNearEnd = first > 0 && writtenAt < first + (offset - first) * (1 - RETENTION_PART);
    return isNearEnd || offset - covered >= RECORDS_BETWEEN_CHECKPOINTS || clock.now() >= dueAt;
  };

  while (!signal.aborted) {
    if (isDue() && lease.holdFor(0)) {
      const state = structuredClone(follower.state());
      await writer.write(
        { type: 'checkpoint', covers: state.offset, state },
        clock.now() + WRITE_TIMEOUT_MS,
      );
    }
    await clock.sleepUntil(clock.now() + CHECK_EVERY_MS, signal);
  }
};

export default writeCheckpoints;
