import type Clock from '@cyclamengate/common/Clock';
import describeError from '@cyclamengate/common/describeError';
import type { EventLog } from '@cyclamengate/common/newEventLog';
import type { ItemTask } from './newTaskList.js';

const RETRY_DELAY_MS = 1_000;

/** The last phase of an item whose work is known to be done. */
const findPhase = ({ outcome, textCompletedAt }: ItemTask): ItemTask['phase'] => {
  if (outcome) return 'unwritten';
  return textCompletedAt === null ? 'waiting' : 'unscored';
};

/**
 * Awaits the work on an item. An error that no code expects is reported, and the item goes on from its
 * last phase after a while; left in a phase in which it is worked on, it would never be listed.
 */
const newItemRetry =
  (clock: Clock, log: EventLog) =>
  async (task: ItemTask, work: Promise<void>): Promise<void> => {
    try {
      await work;
    } catch (error) {
      const { state, item, phase, controller } = task;
      const fields = { requestId: item.id, batch: state.batch.id, phase };
      log.error('item.broken', { ...fields, ...describeError(error) });
      await clock.sleepUntil(clock.now() + RETRY_DELAY_MS, controller.signal);
      if (!controller.signal.aborted) task.phase = findPhase(task);
    }
  };

export default newItemRetry;
