import groupBy from '@cyclamengate/common/groupBy';
import type { EventLog } from '@cyclamengate/common/newEventLog';
import type { Handover } from './batchRecord.js';
import type { Batches } from './newBatches.js';
import type { BatchState } from './newBatchState.js';
import newHandover from './newHandover.js';
import type { PartSaver } from './newPartSaver.js';
import type { RequestReader } from './newRequestReader.js';
import type { ItemTask, TaskList } from './newTaskList.js';

export interface HandoverSenderOptions {
  log: EventLog;
  batches: Batches;
  tasks: TaskList;
  /** Incarnation of this process. */
  incarnation: string;
  /** Hands a batch over to another host; @returns its name, null if no host takes it. */
  handOverTo: (handover: Handover) => Promise<string | null>;
  savePart: PartSaver;
  requests: Pick<RequestReader, 'loadAll'>;
  onHandedOver: () => void;
}

/**
 * Hands all batches that run on this host over to other hosts.
 *
 * The texts of a stopped host would be lost with it, and the longest ones would miss their step.
 * Texts that it writes to the store are found by the next owner once that host knows that it is the
 * owner. During a store outage, however, nothing can be written, no host learns that this one is
 * leaving, and its items would be idle until the end of the outage. So each batch is sent directly
 * to the next host in order of preference.
 */
const newHandoverSender = (options: HandoverSenderOptions) => {
  const { log, batches, tasks, incarnation, handOverTo, savePart, requests, onHandedOver } =
    options;

  const handOverBatch = async (
    state: BatchState,
    open: ItemTask[],
    isPartitioned: boolean,
  ): Promise<void> => {
    if (state.isEnded) return;
    const items = await requests.loadAll(state);
    if (!items) {
      // The next owner reads the batch from the store, as it does when a host dies.
      log.warn('batch.not-handed-over', { batch: state.batch.id, reason: 'requests not held' });
      return;
    }
    const handover = newHandover(state, items, open, incarnation, isPartitioned);
    const successor = await handOverTo(handover);
    if (successor === null) return;
    batches.markHandedOver(state.batch.id);
    onHandedOver();
  };

  /**
   * @param reason a host that is stopped ends its runs in any case; one that is partitioned from
   * the store ends only the runs of batches that another host takes over
   */
  return async (reason: 'stopped' | 'partitioned'): Promise<void> => {
    const open = tasks.all();
    const isPartitioned = reason === 'partitioned';
    if (!isPartitioned) open.forEach((task) => task.controller.abort('handed over'));
    const groups = groupBy(open, ({ state }) => state);
    await Promise.all([
      ...[...groups].map(([state, list]) => handOverBatch(state, list, isPartitioned)),
      ...open.map(savePart),
    ]);
    log.info('items.handed-over', { items: open.length, batches: groups.size });
  };
};

export default newHandoverSender;
