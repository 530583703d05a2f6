import type Clock from '@cyclamengate/common/Clock';
import type { EventLog } from '@cyclamengate/common/newEventLog';
import type { WriteOutcome } from '@cyclamengate/store/newStoreWriter';
import type { ItemResult, TextPlace, Verdict } from './batchRecord.js';
import type { ItemScorer, ScoreOutcome } from './newItemScorer.js';
import type { RequestReader } from './newRequestReader.js';
import type { BatchState } from './newBatchState.js';
import type { ItemOutcome, ItemTask } from './newTaskList.js';

/**
 * Time limit of each attempt to write a result; attempts are repeated until the result is written
 * or the batch has ended.
 */
const WRITE_TIMEOUT_MS = 10_000;

export interface ItemFinisherOptions {
  clock: Clock;
  log: EventLog;
  scorer: ItemScorer;
  requests: Pick<RequestReader, 'load'>;
  /** Whether the view is current enough to work on a batch. */
  mayWork: (state: BatchState) => boolean;
  write: (result: ItemResult, deadline: number) => Promise<WriteOutcome>;
  writeText: (batch: string, text: string, deadline: number) => Promise<TextPlace | null>;
}

/** Finishes items: scores the complete text or abandons the item, and writes the result. */
const newItemFinisher = (options: ItemFinisherOptions) => {
  const { clock, log, scorer, requests, mayWork, write, writeText } = options;

  const writeResult = async (task: ItemTask, itemOutcome: ItemOutcome): Promise<void> => {
    const { state, item } = task;
    task.phase = 'writing';
    const record = {
      type: 'result' as const,
      batch: state.batch.id,
      item: item.id,
      ...itemOutcome,
    };
    let outcome: WriteOutcome = 'not-written';
    while (outcome !== 'written' && !task.controller.signal.aborted) {
      outcome = await write(record, clock.now() + WRITE_TIMEOUT_MS);
    }
    log.info('item.finished', {
      batch: state.batch.id,
      requestId: item.id,
      state: itemOutcome.state,
      versions: itemOutcome.versions,
      events: task.progress.events.length,
      runs: task.runs,
      tookMs: Math.round(clock.now() - task.createdAt),
      outcome,
    });
  };

  /**
   * Writes an item's result once its batch is in the log. Hosts ignore a result of a batch that
   * they do not know while its writer considers it written, and the item would never be listed.
   */
  const finish = async (task: ItemTask, itemOutcome: ItemOutcome): Promise<void> => {
    task.outcome = itemOutcome;
    task.phase = 'unwritten';
    if (task.state.isStored) await writeResult(task, itemOutcome);
  };

  const abandon = (task: ItemTask, reason: string, verdict?: Verdict): Promise<void> => {
    log.warn('item.abandoned', { requestId: task.item.id, batch: task.state.batch.id, reason });
    const outcome: ItemOutcome = { state: 'abandoned', text: null, versions: [], score: null };
    return finish(task, verdict ? { ...outcome, verdict } : outcome);
  };

  const storeText = async (task: ItemTask): Promise<void> => {
    const text = task.progress.events.join('\n');
    while (!task.place && !task.controller.signal.aborted) {
      task.place = await writeText(task.state.batch.id, text, clock.now() + WRITE_TIMEOUT_MS);
    }
  };

  /** @returns null if the item has no scorer; `unread` if its request can't be read now */
  const callScorer = async (task: ItemTask): Promise<ScoreOutcome | 'unread' | null> => {
    const { state, item, controller } = task;
    const loaded = await requests.load(state, item.id);
    if (!loaded) return 'unread';
    const { scoring } = loaded.request;
    const outcome = scoring
      ? await scorer(scoring, state.batch, () => mayWork(state), controller.signal)
      : null;
    loaded.release();
    return outcome;
  };

  /**
   * Scores a complete text if the view is current. A stale view may lack the end of the batch, and
   * the customer would pay for a score that is no longer wanted. The text waits for a current view.
   */
  const score = async (task: ItemTask): Promise<void> => {
    task.textCompletedAt ??= clock.now();
    task.phase = 'unscored';
    if (!mayWork(task.state)) return;
    task.phase = 'scoring';
    const storing = storeText(task);
    const outcome = await callScorer(task);
    await storing;
    if (task.controller.signal.aborted) return;
    if (outcome === 'unread') {
      task.phase = 'unscored';
      return;
    }
    if (outcome?.type === 'ended') return;
    if (outcome?.type === 'failed') {
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

  /** Resumes an item whose result has waited for its batch to be in the log. */
  const resume = async (task: ItemTask): Promise<void> => {
    if (task.outcome && task.state.isStored) await writeResult(task, task.outcome);
  };

  return { abandon, score, resume };
};

export type ItemFinisher = ReturnType<typeof newItemFinisher>;

export default newItemFinisher;
