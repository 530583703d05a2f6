import type Clock from '@cyclamengate/common/Clock';
import type { WriteOutcome } from '@cyclamengate/store/newStoreWriter';
import type { Part } from './batchRecord.js';
import newPart from './newPart.js';
import type { ItemTask } from './newTaskList.js';

/** A part that is not written within this time is of little use, since a newer one follows. */
const WRITE_TIMEOUT_MS = 2_000;

export interface PartSaverOptions {
  clock: Clock;
  /** Incarnation of this process. */
  writer: string;
  write: (part: Part, deadline: number) => Promise<WriteOutcome>;
}

/** Writes the part of an item's text that has not been saved yet. */
const newPartSaver =
  ({ clock, writer, write }: PartSaverOptions) =>
  async (task: ItemTask): Promise<void> => {
    const { progress, savedEvents } = task;
    const count = progress.events.length;
    const hasNoEvents = progress.lastEventId === null;
    if (task.isSaving || task.phase === 'writing' || hasNoEvents) return;
    const isWhole = task.textCompletedAt !== null;
    if (count === savedEvents && isWhole === task.isCompletionSaved) return;
    task.isSaving = true;
    const part = newPart(task, writer, savedEvents);
    const outcome = await write(part, clock.now() + WRITE_TIMEOUT_MS).finally(() => {
      task.isSaving = false;
    });
    if (task.progress !== progress) return;
    // Whether an unacknowledged part was written is unknown, so the next part starts at the
    // beginning of the text.
    task.savedEvents = outcome === 'written' ? count : 0;
    task.isCompletionSaved = outcome === 'written' && isWhole;
  };

export type PartSaver = ReturnType<typeof newPartSaver>;

export default newPartSaver;
