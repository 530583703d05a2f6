import median from '@cyclamengate/common/median';
import type { Candidate } from '@cyclamengate/engines/chooseUpstream';

/** A running item. */
export interface RunningItem {
  key: string;
  upstream: string;
  /** Expected number of tokens that are still to be generated. */
  expectedTokens: number;
}

/**
 * Items move away from an engine that is this many times slower than its peers; noise stays below
 * 1.5.
 */
const SLOWDOWN_THRESHOLD = 1.7;
/**
 * With fewer expected tokens the move costs more than it gains: the engine needs about 40 ms to
 * read the text again.
 */
const MIN_REMAINING_TOKENS = 150;

/**
 * Selects items that should resume on another engine after their last event.
 *
 * An engine can become several times slower than its peers without reporting it, and its items
 * would end long after their step is due. Moving an item is cheap, since reading a text again takes
 * tens of milliseconds.
 */
const findMoves = (
  running: RunningItem[],
  candidates: Candidate[],
  isDraining: (id: string) => boolean,
): RunningItem[] => {
  const medianPace = median(candidates.map(({ lastingPace }) => lastingPace)) ?? 1;
  const slowEngines = new Set(
    candidates
      .filter(({ lastingPace }) => lastingPace / medianPace > SLOWDOWN_THRESHOLD)
      .map(({ entry }) => entry.id),
  );
  const freeSlots = candidates
    .filter(({ entry, isBackedOff }) => !isBackedOff && !slowEngines.has(entry.id))
    .reduce(
      (sum, { entry, load, remainingStarts }) =>
        sum + Math.max(0, Math.min(entry.slots - load, remainingStarts)),
      0,
    );
  return running
    .filter(({ upstream }) => isDraining(upstream) || slowEngines.has(upstream))
    .filter(({ expectedTokens }) => expectedTokens > MIN_REMAINING_TOKENS)
    .sort((left, right) => right.expectedTokens - left.expectedTokens)
    .slice(0, freeSlots);
};

export default findMoves;
