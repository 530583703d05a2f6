import type { Handover, Item, Part } from './batchRecord.js';
import type { BatchState } from './newBatchState.js';
import newPart from './newPart.js';
import type { ItemTask } from './newTaskList.js';
import { countCharacters } from './progress.js';

/** Texts beyond this size are left to the parts that are written to the store. */
const MAX_TEXT_CHARACTERS = 1_000_000;

/** As many texts as may be handed over, the longest first: they take the longest to make again. */
const takeTexts = (parts: Part[]): Part[] => {
  let characters = 0;
  return [...parts]
    .sort((left, right) => right.events.length - left.events.length)
    .filter((part) => {
      const size = countCharacters(part);
      if (characters + size > MAX_TEXT_CHARACTERS) return false;
      characters += size;
      return true;
    });
};

/**
 * Creates the handover with which another host can resume a batch at once.
 * @param items all items of the batch
 * @param from incarnation that hands the batch over
 */
const newHandover = (
  state: BatchState,
  items: Item[],
  tasks: ItemTask[],
  from: string,
  isSenderCut: boolean,
): Handover => ({
  batch: { ...state.batch, type: 'batch', items },
  texts: takeTexts(
    tasks
      .filter(({ progress }) => progress.events.length > 0)
      .map((task) => newPart(task, from, 0)),
  ),
  from,
  isSenderCut,
});

export default newHandover;
