import type Clock from '@cyclamengate/common/Clock';
import type { Candidate } from '@cyclamengate/engines/chooseUpstream';
import classifyPace from '@cyclamengate/engines/classifyPace';
import type { Route } from '@cyclamengate/gateway/operatorSettings';
import { estimateRunMs, isLateAt } from './expectedTimes.js';
import type { BatchState } from './newBatchState.js';
import type { Reservations } from './newReservations.js';
import type { ItemTask, TaskList } from './newTaskList.js';
import newWantedGroups from './newWantedGroups.js';
import type { WaitingItem } from './planStarts.js';

/** A group that was sent again counts as asked one step earlier: its trainer waits for it first. */
const CARRIED_OVER_LEAD_MS = 4_000;

export interface ItemDescriberOptions {
  clock: Clock;
  tasks: Pick<TaskList, 'all' | 'expectedTokens'>;
  reservations: Pick<Reservations, 'find'>;
  routeOf: (state: BatchState) => Route | undefined;
}

const groupKey = ({ state, item }: ItemTask): string => `${state.batch.id}\n${item.group}`;

const isFast = ({ lastingPace }: Candidate): boolean => classifyPace(lastingPace) === 'fast';

/**
 * Describes items with what decides on their order and their engines.
 *
 * Where some engines are fast, the items with the least time to spare go first and late groups give
 * way, so that fast slots go to those that need them. Among engines that are alike the oldest batch
 * goes first, its groups that were sent again before others, and nobody gives way.
 */
const newItemDescriber = ({ clock, tasks, reservations, routeOf }: ItemDescriberOptions) => {
  const isWanted = newWantedGroups();

  /** Wall time at which an item's result is due; null if it is never due. */
  const findDueAt = ({ state }: ItemTask): number | null => {
    const dueMs = routeOf(state)?.resultsDueMs ?? 0;
    return dueMs > 0 ? state.batch.acceptedAt + dueMs : null;
  };

  /** Wall time at which an item has to start to be in time on an engine of usual pace. */
  const findLatestStart = (task: ItemTask, expectedTokens: number): number => {
    const dueAt = findDueAt(task) ?? task.state.batch.acceptedAt;
    const leadMs = task.isCarriedOver ? CARRIED_OVER_LEAD_MS : 0;
    return dueAt - leadMs - estimateRunMs(expectedTokens, 1);
  };

  /** Within a batch, groups that were sent again come first. */
  const findTurn = ({ state, isCarriedOver }: ItemTask): number =>
    state.batch.acceptedAt - (isCarriedOver ? 1 : 0);

  /** A group is late as soon as one of its items is. */
  const findLateGroups = (candidates: Candidate[]): Set<string> => {
    const bestPace = Math.min(1, ...candidates.map(({ lastingPace }) => lastingPace));
    const wallTime = clock.wallTime();
    const late = tasks
      .all()
      .filter(({ phase }) => phase === 'waiting' || phase === 'running')
      .filter((task) => isLateAt(wallTime, findDueAt(task), tasks.expectedTokens(task), bestPace));
    return new Set(late.map(groupKey));
  };

  /** @param candidates the upstreams on which the items may run */
  return (list: ItemTask[], candidates: Candidate[]): WaitingItem[] => {
    const isByTimeToSpare = candidates.some(isFast);
    const lateGroups = isByTimeToSpare ? findLateGroups(candidates) : new Set<string>();
    return list.map((task) => {
      const { batch } = task.state;
      const isSingleVersion = routeOf(task.state)?.isSingleVersion ?? false;
      const expectedTokens = tasks.expectedTokens(task);
      const startBy = findLatestStart(task, expectedTokens);
      return {
        key: task.key,
        model: batch.model,
        minVersion: batch.leastVersion,
        requiredVersion: isSingleVersion ? (task.progress.versions[0] ?? null) : null,
        expectedTokens,
        startBy,
        turn: isByTimeToSpare ? startBy : findTurn(task),
        isWanted: !isByTimeToSpare || isWanted(task.state, task.item.group),
        isLate: lateGroups.has(groupKey(task)),
        avoidedUpstream: task.avoidedUpstream,
        reservedUpstream: reservations.find(task.key),
      };
    });
  };
};

export type ItemDescriber = ReturnType<typeof newItemDescriber>;

export default newItemDescriber;
