import type { Candidate } from '@cyclamengate/engines/chooseUpstream';
import { countFree, mayRun } from './engineRoom.js';
import type { RefusalCheck, VersionNeeds } from './engineRoom.js';
import { estimateRunMs } from './expectedTimes.js';
import type { WaitingItem } from './planStarts.js';

/** A running item that may move to a faster engine. */
export interface MovableItem extends VersionNeeds {
  key: string;
  upstream: string;
  /** Expected number of tokens that are still to be generated. */
  expectedTokens: number;
  /** Wall time at which a wait of this item would have had to end; see `WaitingItem`. */
  startBy: number;
  isWanted: boolean;
  isLate: boolean;
}

export interface Move {
  key: string;
  target: string;
}

/** Above the noise of paces, so that no item moves back. */
const MIN_PACE_RATIO = 1.5;
/** A move costs a new start and the reading of the text, some tens of milliseconds each. */
const MIN_SAVED_MS = 400;
/** A rest is often twice as long as expected. */
const MAX_REST_RATIO = 2;
/** Engines whose paces differ by less count as equal. */
const NEAR_EQUAL_RATIO = 1.1;

/** Whether any engine with a free slot is much faster than another one. */
export const hasFasterRoom = (candidates: Candidate[]): boolean => {
  const slowest = Math.max(...candidates.map(({ lastingPace }) => lastingPace));
  return candidates.some(
    (candidate) => slowest >= candidate.lastingPace * MIN_PACE_RATIO && countFree(candidate) > 0,
  );
};

/**
 * Selects running items that should resume on a much faster engine, and that engine.
 *
 * Which items are long shows only as they run, and a step is complete when its longest item is. The
 * longest rest moves first, but not before waiting items that are longer still. Items that are in
 * time anyhow stay, since each move costs a connection and a new run. Among engines of about the
 * same pace the choice is random, so that hosts that plan at once choose different ones.
 */
const findFasterMoves = (
  wallTime: number,
  running: MovableItem[],
  waiting: WaitingItem[],
  candidates: Candidate[],
  isRefusing: RefusalCheck,
  random: () => number = Math.random,
): Move[] => {
  const byId = new Map(candidates.map((candidate) => [candidate.entry.id, { ...candidate }]));
  const current = [...byId.values()];
  const fastest = Math.min(...current.map(({ lastingPace }) => lastingPace));
  const rivals = waiting.filter(({ isWanted, isLate }) => isWanted && !isLate);

  const findTargets = (item: MovableItem, pace: number): Candidate[] =>
    current.filter(
      (candidate) =>
        pace >= candidate.lastingPace * MIN_PACE_RATIO &&
        estimateRunMs(item.expectedTokens, pace - candidate.lastingPace) >= MIN_SAVED_MS &&
        mayRun(item, candidate, isRefusing),
    );

  const isAtRisk = ({ startBy, expectedTokens }: MovableItem, pace: number): boolean =>
    wallTime + estimateRunMs(expectedTokens * MAX_REST_RATIO, pace) >
    startBy + estimateRunMs(expectedTokens, 1);

  const chooseTarget = (item: MovableItem): Candidate | null => {
    const pace = byId.get(item.upstream)?.lastingPace;
    if (pace === undefined || pace < fastest * MIN_PACE_RATIO) return null;
    if (!isAtRisk(item, pace)) return null;
    const targets = findTargets(item, pace);
    const free = targets.reduce((sum, candidate) => sum + countFree(candidate), 0);
    if (free === 0) return null;
    const longer = rivals.filter(
      (rival) =>
        rival.expectedTokens > item.expectedTokens &&
        targets.some((candidate) => mayRun(rival, candidate, isRefusing)),
    );
    if (free <= longer.length) return null;
    const open = targets.filter((candidate) => countFree(candidate) > 0);
    const best = Math.min(...open.map((candidate) => candidate.lastingPace));
    const nearEqual = open.filter((candidate) => candidate.lastingPace <= best * NEAR_EQUAL_RATIO);
    return nearEqual[Math.floor(random() * nearEqual.length)] ?? null;
  };

  return running
    .filter(({ isWanted, isLate }) => isWanted && !isLate)
    .sort((left, right) => right.expectedTokens - left.expectedTokens)
    .flatMap(({ key, ...item }) => {
      const target = chooseTarget({ key, ...item });
      if (!target) return [];
      target.load += 1;
      target.remainingStarts -= 1;
      return [{ key, target: target.entry.id }];
    });
};

export default findFasterMoves;
