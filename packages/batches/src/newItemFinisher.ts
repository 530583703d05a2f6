import type Clock from '@cyclamengate/common/Clock';
import type { EventLog } from '@cyclamengate/common/newEventLog';
import type { WriteOutcome } from '@cyclamengate/store/newStoreWriter';
import type { ItemResult } from './batchRecord.js';
import type { ItemScorer } from './newItemScorer.js';
import type { ItemTask } from './newTaskList.js';

/** A result is written until it stands or its batch is over; each try lasts so long. */
const WRITE_TIMEOUT_MS = 10_000;

export interface ItemFinisherOptions {
  clock: Clock;
  log: EventLog;
  scorer: ItemScorer;
  write: (result: ItemResult, deadline: number) => Promise<WriteOutcome>;
}

/** Brings an item to its end: scores its whole text, or gives it up, and writes the result. */
const newItemFinisher = ({ clock, log, scorer, write }: ItemFinisherOptions) => {
  const finish = async (
    task: ItemTask,
    result: Omit<ItemResult, 'type' | 'batch' | 'item'>,
  ): Promise<void> => {
    const { state, item } = task;
    task.phase = 'writing';
    const record = { type: 'result' as const, batch: state.batch.id, item: item.id, ...result };
    let outcome: WriteOutcome = 'not-written';
    while (outcome !== 'written' && !task.controller.signal.aborted) {
      outcome = await write(record, clock.now() + WRITE_TIMEOUT_MS);
    }
    log.info('item.finished', {
      batch: state.batch.id,
      requestId: item.id,
      state: result.state,
      versions: result.versions,
      events: task.progress.events.length,
      runs: task.runs,
      tookMs: Math.round(clock.now() - task.createdAt),
      outcome,
    });
  };

  const abandon = (task: ItemTask, reason: string): Promise<void> => {
    log.warn('item.abandoned', { requestId: task.item.id, batch: task.state.batch.id, reason });
    return finish(task, { state: 'abandoned', text: '', versions: [], score: null });
  };

  const score = async (task: ItemTask): Promise<void> => {
    task.phase = 'scoring';
    task.textAt = clock.now();
    const { scoring } = task.item;
    const outcome = scoring ? await scorer(scoring, task.controller.signal) : null;
    if (outcome?.type === 'ended') return;
    if (outcome?.type === 'hopeless') {
      await abandon(task, 'scoring failed too often');
      return;
    }
    const { events, versions } = task.progress;
    await finish(task, {
      state: 'completed',
      text: events.join('\n'),
      versions,
      score: outcome?.score ?? null,
    });
  };

  return { abandon, score };
};

export type ItemFinisher = ReturnType<typeof newItemFinisher>;

export default newItemFinisher;
