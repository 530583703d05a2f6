import type { Part } from './batchRecord.js';
import type { ItemTask } from './newTaskList.js';

/**
 * Creates the part of an item's text that follows the writer's earlier parts, to be written or
 * handed over.
 * @param from number of events in the writer's earlier parts
 */
const newPart = (
  { state, item, progress, textCompletedAt }: ItemTask,
  writer: string,
  from: number,
): Part => ({
  type: 'part',
  batch: state.batch.id,
  item: item.id,
  writer,
  from,
  events: progress.events.slice(from),
  lastEventId: progress.lastEventId,
  versions: [...progress.versions],
  isWhole: textCompletedAt !== null,
});

export default newPart;
