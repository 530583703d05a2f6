import type Clock from '@cyclamengate/common/Clock';
import type { Candidates } from '@cyclamengate/gateway/newCandidates';
import type { Route } from '@cyclamengate/gateway/operatorSettings';
import findFasterMoves, { hasFasterRoom } from './findFasterMoves.js';
import type { BatchState } from './newBatchState.js';
import type { ItemDescriber } from './newItemDescriber.js';
import type { ItemScopes } from './newItemScopes.js';
import type { Refusals } from './newRefusals.js';
import type { Reservations } from './newReservations.js';
import type { ItemTask, TaskList } from './newTaskList.js';
import planMoves from './planMoves.js';

/**
 * Minimum time between moves of an item, so that its new engine's pace is known: about 25 events.
 */
const MIN_MOVE_INTERVAL_MS = 1_000;

export interface ItemMoverOptions {
  clock: Clock;
  tasks: TaskList;
  scopes: ItemScopes;
  describe: ItemDescriber;
  reservations: Pick<Reservations, 'reserve'>;
  refusals: Pick<Refusals, 'isRefusing'>;
  candidates: Candidates;
  isListed: (upstream: string) => boolean;
  routeOf: (state: BatchState) => Route | undefined;
  /** Whether the view of the log is current enough to start work on a batch. */
  mayWork: (state: BatchState) => boolean;
}

/**
 * Moves running items to other engines. A moved item's run is aborted, and the item resumes
 * elsewhere as waiting items start.
 */
const newItemMover = (options: ItemMoverOptions) => {
  const { clock, tasks, scopes, describe, reservations, refusals } = options;
  const { candidates, isListed, routeOf, mayWork } = options;

  const findMovable = (): ItemTask[] =>
    tasks.running().filter(({ movedAt }) => clock.now() > movedAt + MIN_MOVE_INTERVAL_MS);

  const move = (task: ItemTask): void => {
    task.movedAt = clock.now();
    task.runController?.abort('moved to a faster engine');
  };

  return {
    /** Moves items away from engines that are slow, draining or evacuated. */
    moveAway: (): void => {
      const running = findMovable().map((task) => ({
        key: task.key,
        upstream: task.upstream ?? '',
        expectedTokens: tasks.expectedTokens(task),
        service: routeOf(task.state)?.splits[0]?.service ?? '',
      }));
      planMoves(running, candidates, isListed).forEach(({ key }) => {
        const task = tasks.get(key);
        if (task) move(task);
      });
    },
    /** Moves long items to much faster engines, and reserves their slots there. */
    moveToFaster: (): void => {
      // On a view that is not current a moved item could not start again.
      const movable = findMovable().filter(({ state }) => mayWork(state));
      scopes.group(movable).forEach((scope) => {
        const current = scopes.findCandidates(scope);
        if (!hasFasterRoom(current)) return;
        const running = describe(scope.list, current).map((item) => ({
          ...item,
          upstream: tasks.get(item.key)?.upstream ?? '',
        }));
        const rivals =
          scopes.group(tasks.waiting()).find(({ key }) => key === scope.key)?.list ?? [];
        const waiting = describe(rivals, current);
        findFasterMoves(clock.wallTime(), running, waiting, current, refusals.isRefusing).forEach(
          ({ key, target }) => {
            const task = tasks.get(key);
            if (!task) return;
            reservations.reserve(key, target);
            move(task);
          },
        );
      });
    },
  };
};

export default newItemMover;
