import chooseUpstream from '@cyclamengate/engines/chooseUpstream';
import type { Candidate } from '@cyclamengate/engines/chooseUpstream';
import classifyPace from '@cyclamengate/engines/classifyPace';
import { countFree, mayRun } from './engineRoom.js';
import type { RefusalCheck, VersionNeeds } from './engineRoom.js';

/** An item that waits for a slot. */
export interface WaitingItem extends VersionNeeds {
  key: string;
  /** Expected number of tokens that are still to be generated. */
  expectedTokens: number;
  /** Wall time at which it has to start to be complete in time on an engine of usual pace. */
  startBy: number;
  /** Among items that are wanted and not late, the lowest starts first. */
  turn: number;
  /** Whether its trainer still waits for its group. */
  isWanted: boolean;
  /** Whether its group can't be complete in time any more. */
  isLate: boolean;
  /** Upstream that ran the item last and should not run it next. */
  avoidedUpstream: string | null;
  /** Upstream to which it moves and which holds a slot for it. */
  reservedUpstream: string | null;
}

export interface PlannedStart {
  key: string;
  candidate: Candidate;
}

/**
 * Orders waiting items by start priority.
 *
 * A step is complete when its slowest item is, and the longest items take most of the time that a
 * step has, so among items of one turn the longest start first: they would end long after all others
 * if they started last. Groups that the trainer does not wait for any more, and those that are late in
 * any case, give way.
 */
export const compareWaiting = (left: WaitingItem, right: WaitingItem): number =>
  Number(right.isWanted) - Number(left.isWanted) ||
  Number(left.isLate) - Number(right.isLate) ||
  left.turn - right.turn ||
  right.expectedTokens - left.expectedTokens;

const canStart = (candidate: Candidate): boolean => countFree(candidate) > 0;

const isFast = ({ pace }: Candidate): boolean => classifyPace(pace) === 'fast';

/**
 * Gives the free slots of fast engines to the longest items that can be in time, so that short ones
 * leave these slots to them.
 * @returns keys of these items, and the number of slots held for them by engine
 */
const holdFastSlots = (
  waiting: WaitingItem[],
  candidates: Candidate[],
  isRefusing: RefusalCheck,
): { keys: Set<string>; held: Map<string, number> } => {
  const keys = new Set<string>();
  const held = new Map<string, number>();
  const fast = candidates.filter(isFast);
  let free = fast.reduce((sum, candidate) => sum + countFree(candidate), 0);
  if (free === 0) return { keys, held };
  waiting
    .filter(({ isWanted, isLate }) => isWanted && !isLate)
    .sort((left, right) => right.expectedTokens - left.expectedTokens)
    .forEach((item) => {
      if (free === 0) return;
      const engine = fast.find(
        (candidate) =>
          countFree(candidate) > (held.get(candidate.entry.id) ?? 0) &&
          mayRun(item, candidate, isRefusing),
      );
      if (!engine) return;
      keys.add(item.key);
      held.set(engine.entry.id, (held.get(engine.entry.id) ?? 0) + 1);
      free -= 1;
    });
  return { keys, held };
};

/**
 * Selects the waiting items that start now, and their engines. Items start only on free slots: an
 * item that waits here can still go to whichever engine is free first, while one in an engine's
 * queue cannot.
 */
const planStarts = (
  waiting: WaitingItem[],
  candidates: Candidate[],
  isRefusing: RefusalCheck,
  random?: () => number,
): PlannedStart[] => {
  const current = candidates.map((candidate) => ({ ...candidate }));
  const starts: PlannedStart[] = [];

  const start = ({ key }: WaitingItem, candidate: Candidate): void => {
    candidate.load += 1;
    candidate.remainingStarts -= 1;
    starts.push({ key, candidate });
  };

  /** The slot that is held for a moved item becomes free for it, or for others. */
  const startReserved = (item: WaitingItem): boolean => {
    if (item.reservedUpstream === null) return false;
    const target = current.find(({ entry }) => entry.id === item.reservedUpstream);
    if (!target) return false;
    target.load -= 1;
    if (!canStart(target) || !mayRun(item, target, isRefusing)) return false;
    start(item, target);
    return true;
  };

  const rest = waiting.filter((item) => !startReserved(item));
  // Mostly all slots are taken, and sorting the items would be wasted work.
  if (!current.some(canStart)) return starts;
  const { keys, held } = holdFastSlots(rest, current, isRefusing);
  const isHeld = (candidate: Candidate): boolean =>
    countFree(candidate) <= (held.get(candidate.entry.id) ?? 0);

  const choose = (item: WaitingItem): Candidate | null => {
    const eligible = current.filter(
      (candidate) => canStart(candidate) && mayRun(item, candidate, isRefusing),
    );
    const mayTakeHeld = keys.has(item.key);
    const fast = mayTakeHeld ? eligible.filter(isFast) : [];
    const allowed = mayTakeHeld ? eligible : eligible.filter((candidate) => !isHeld(candidate));
    const preferred = fast.length > 0 ? fast : allowed;
    const others = preferred.filter(({ entry }) => entry.id !== item.avoidedUpstream);
    return chooseUpstream(others.length > 0 ? others : preferred, random);
  };

  rest.sort(compareWaiting).forEach((item) => {
    const chosen = choose(item);
    if (!chosen) return;
    start(item, chosen);
    const heldCount = held.get(chosen.entry.id) ?? 0;
    if (keys.has(item.key) && heldCount > 0) held.set(chosen.entry.id, heldCount - 1);
  });
  return starts;
};

export default planStarts;
