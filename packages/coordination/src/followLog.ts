import backoff from '@cyclamengate/common/backoff';
import type Clock from '@cyclamengate/common/Clock';
import type { Follower } from './newFollower.js';
import type RecordSource from './RecordSource.js';

/** A source that failed or fell behind is left alone for this long. */
const AVOID_MS = 3_000;
/** A source may show nothing new for this long while other members are known to be ahead. */
const STALL_MS = 1_500;

export interface FollowOptions {
  clock: Clock;
  follower: Follower;
  /** Sources in the order in which they should be tried; read anew before each page. */
  sources: () => RecordSource[];
  /** The highest offset any live member has reported. */
  highestKnown: () => number;
}

/**
 * Follows the log for as long as the process lives.
 *
 * A peer that relays records may die, or worse, stay up while its own source is stuck: its readers
 * would then get empty pages for ever and keep serving withdrawn keys. The reader notices that other
 * members report a higher offset than this source shows, and moves to the next one.
 */
const followLog = async (options: FollowOptions, signal: AbortSignal): Promise<void> => {
  const { clock, follower, sources, highestKnown } = options;
  const avoidUntil = new Map<string, number>();
  let failures = 0;
  let behindSince: number | null = null;

  const choose = (): RecordSource | undefined => {
    const all = sources();
    const now = clock.now();
    return all.find(({ name }) => (avoidUntil.get(name) ?? -Infinity) <= now) ?? all[0];
  };

  const avoid = (source: RecordSource): void => {
    avoidUntil.set(source.name, clock.now() + AVOID_MS);
  };

  const watchStall = (source: RecordSource): void => {
    if (highestKnown() <= follower.state().offset) {
      behindSince = null;
      return;
    }
    behindSince ??= clock.now();
    if (clock.now() < behindSince + STALL_MS) return;
    behindSince = null;
    avoid(source);
  };

  const takePage = async (source: RecordSource): Promise<boolean> => {
    const before = follower.next();
    const page = await source.read(before, signal);
    if (!page.ok) return false;
    follower.ingest(page.val);
    const isBehind = follower.isBridging() || page.val.first > follower.next();
    const state = isBehind ? await source.snapshot(signal) : null;
    if (state) follower.load(state);
    if (follower.next() === before) watchStall(source);
    else behindSince = null;
    return true;
  };

  while (!signal.aborted) {
    const source = choose();
    const isRead = source ? await takePage(source) : false;
    if (isRead) {
      failures = 0;
    } else if (!signal.aborted) {
      if (source) avoid(source);
      failures += 1;
      const isAllTried = failures >= sources().length;
      if (isAllTried) await clock.sleepUntil(backoff(clock.now(), failures), signal);
    }
  }
};

export default followLog;
