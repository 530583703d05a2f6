import backoff from '@cyclamengate/common/backoff';
import type Clock from '@cyclamengate/common/Clock';
import type { Follower } from './newFollower.js';
import type RecordSource from './RecordSource.js';

/** How long a source is not used after it failed or fell behind. */
const SOURCE_AVOIDANCE_MS = 3_000;
/** How long a source may return no new records while other members are known to be ahead. */
const MAX_STALL_MS = 1_500;

export interface FollowOptions {
  clock: Clock;
  follower: Follower;
  /** Sources in the order in which to try them; evaluated before each page. */
  sources: () => RecordSource[];
  /** The highest offset that any live member has reported. */
  highestKnownOffset: () => number;
}

/**
 * Follows the log until the signal aborts.
 *
 * A peer that relays records may fail, or may keep answering while its own source is stuck. Its
 * readers would then get empty pages indefinitely and continue to serve withdrawn keys. So a reader
 * that learns of members at a higher offset than its source returns switches to the next source.
 */
const followLog = async (options: FollowOptions, signal: AbortSignal): Promise<void> => {
  const { clock, follower, sources, highestKnownOffset } = options;
  const avoidUntil = new Map<string, number>();
  let failures = 0;
  let behindSince: number | null = null;

  const chooseSource = (): RecordSource | undefined => {
    const all = sources();
    const now = clock.now();
    return all.find(({ name }) => (avoidUntil.get(name) ?? -Infinity) <= now) ?? all[0];
  };

  const avoid = (source: RecordSource): void => {
    avoidUntil.set(source.name, clock.now() + SOURCE_AVOIDANCE_MS);
  };

  const avoidIfStalled = (source: RecordSource): void => {
    if (highestKnownOffset() <= follower.state().offset) {
      behindSince = null;
      return;
    }
    behindSince ??= clock.now();
    if (clock.now() < behindSince + MAX_STALL_MS) return;
    behindSince = null;
    avoid(source);
  };

  const readPage = async (source: RecordSource): Promise<boolean> => {
    const before = follower.next();
    const page = await source.read(before, signal);
    if (!page.ok) return false;
    follower.ingest(page.val);
    const needsSnapshot = follower.isWaitingForCheckpoint() || page.val.first > follower.next();
    const state = needsSnapshot ? await source.snapshot(signal) : null;
    if (state) follower.load(state);
    if (follower.next() === before) avoidIfStalled(source);
    else behindSince = null;
    return true;
  };

  while (!signal.aborted) {
    const source = chooseSource();
    const isRead = source ? await readPage(source) : false;
    if (isRead) {
      failures = 0;
    } else if (!signal.aborted) {
      if (source) avoid(source);
      failures += 1;
      const haveAllFailed = failures >= sources().length;
      if (haveAllFailed) await clock.sleepUntil(backoff(clock.now(), failures), signal);
    }
  }
};

export default followLog;
