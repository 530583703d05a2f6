import type { Handover } from './batchRecord.js';
import type { BatchState } from './newBatchState.js';
import newPart from './newPart.js';
import type { ItemTask } from './newTaskList.js';

/**
 * Creates the handover with which another host can resume a batch at once.
 * @param from incarnation that hands the batch over
 * @returns null if the batch has ended or its requests are not loaded
 */
const newHandover = (
  state: BatchState,
  tasks: ItemTask[],
  from: string,
  isSenderCut: boolean,
): Handover | null => {
  if (state.isEnded || !state.requests) return null;
  return {
    batch: { ...state.batch, type: 'batch', items: [...state.requests.values()] },
    texts: tasks
      .filter(({ progress }) => progress.events.length > 0)
      .map((task) => newPart(task, from, 0)),
    from,
    isSenderCut,
  };
};

export default newHandover;
