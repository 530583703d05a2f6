import type Clock from '@cyclamengate/common/Clock';
import type { EventLog } from '@cyclamengate/common/newEventLog';
import type { WriteOutcome } from '@cyclamengate/store/newStoreWriter';
import type { ItemResult, TextPlace } from './batchRecord.js';
import type { ItemScorer } from './newItemScorer.js';
import type { BatchState } from './newBatches.js';
import type { ItemEnding, ItemTask } from './newTaskList.js';

/** A result is written until it stands or its batch is over; each try lasts so long. */
const WRITE_TIMEOUT_MS = 10_000;

export interface ItemFinisherOptions {
  clock: Clock;
  log: EventLog;
  scorer: ItemScorer;
  /** Whether the view is new enough to work on a batch. */
  mayWork: (state: BatchState) => boolean;
  write: (result: ItemResult, deadline: number) => Promise<WriteOutcome>;
  writeText: (batch: string, text: string, deadline: number) => Promise<TextPlace | null>;
}

/** Brings an item to its end: scores its whole text, or gives it up, and writes the result. */
const newItemFinisher = (options: ItemFinisherOptions) => {
  const { clock, log, scorer, mayWork, write, writeText } = options;

  const writeEnding = async (task: ItemTask, ending: ItemEnding): Promise<void> => {
    const { state, item } = task;
    task.phase = 'writing';
    const record = { type: 'result' as const, batch: state.batch.id, item: item.id, ...ending };
    let outcome: WriteOutcome = 'not-written';
    while (outcome !== 'written' && !task.controller.signal.aborted) {
      outcome = await write(record, clock.now() + WRITE_TIMEOUT_MS);
    }
    log.info('item.finished', {
      batch: state.batch.id,
      requestId: item.id,
      state: ending.state,
      versions: ending.versions,
      events: task.progress.events.length,
      runs: task.runs,
      tookMs: Math.round(clock.now() - task.createdAt),
      outcome,
    });
  };

  /**
   * Writes an item's result once its batch stands in the log: hosts pass over a result of a batch that
   * they do not know, while its writer takes it for written, and the item would never be listed.
   */
  const finish = async (task: ItemTask, ending: ItemEnding): Promise<void> => {
    task.ending = ending;
    task.phase = 'unwritten';
    if (task.state.isStored) await writeEnding(task, ending);
  };

  const abandon = (task: ItemTask, reason: string): Promise<void> => {
    log.warn('item.abandoned', { requestId: task.item.id, batch: task.state.batch.id, reason });
    return finish(task, { state: 'abandoned', text: null, versions: [], score: null });
  };

  const keepText = async (task: ItemTask): Promise<void> => {
    const text = task.progress.events.join('\n');
    while (!task.place && !task.controller.signal.aborted) {
      task.place = await writeText(task.state.batch.id, text, clock.now() + WRITE_TIMEOUT_MS);
    }
  };

  /**
   * An old view may lack the end of the batch; a score asked for then would be paid for by a customer
   * who wants it no more. The text waits for a new one.
   */
  const score = async (task: ItemTask): Promise<void> => {
    task.textAt ??= clock.now();
    task.phase = 'unscored';
    if (!mayWork(task.state)) return;
    task.phase = 'scoring';
    const { signal } = task.controller;
    const { scoring } = task.item;
    const keeping = keepText(task);
    const outcome = scoring ? await scorer(scoring, () => mayWork(task.state), signal) : null;
    await keeping;
    if (outcome?.type === 'ended' || signal.aborted) return;
    if (outcome?.type === 'hopeless') {
      await abandon(task, 'scoring failed too often');
      return;
    }
    await finish(task, {
      state: 'completed',
      text: task.place,
      versions: task.progress.versions,
      score: outcome?.score ?? null,
    });
  };

  /** Goes on with an item whose result waited for its batch. */
  const resume = async (task: ItemTask): Promise<void> => {
    if (task.ending && task.state.isStored) await writeEnding(task, task.ending);
  };

  return { abandon, score, resume };
};

export type ItemFinisher = ReturnType<typeof newItemFinisher>;

export default newItemFinisher;
