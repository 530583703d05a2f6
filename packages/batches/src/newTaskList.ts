import type Clock from '@cyclamengate/common/Clock';
import { unlimitedMemory } from '@cyclamengate/common/newMemoryBudget';
import type { MemoryBudget, MemoryLease } from '@cyclamengate/common/newMemoryBudget';
import type { EventLog } from '@cyclamengate/common/newEventLog';
import type { ItemHead, ItemResult, TextPlace } from './batchRecord.js';
import type { BatchState, EarlierText } from './newBatchState.js';
import estimateRest from './estimateRest.js';
import { countCharacters, countTextBytes, meetsMinVersion, newProgress } from './progress.js';
import type { Progress } from './progress.js';

/** Tokens in one stream event of the platform's usual engines. */
const TOKENS_PER_EVENT = 63;
/** Number of unfinished texts that are retained after their batch has ended; about 10 KB each. */
const MAX_RETAINED_TEXTS = 400;
const MAX_RETAINED_CHARACTERS = 8_000_000;
/** A host with more open items takes up the rest as these are finished. */
const MAX_TASKS = 20_000;
/** Items that a host works on however much it knows of other batches. */
const MIN_TASKS = 2_000;
/** What a host holds of an item that it runs, beside its text. */
const TASK_BYTES = 1_024;
/** Groups of which the first batch is known. */
const MAX_GROUPS = 50_000;

/** An item's result without the identifiers of its batch and item. */
export type ItemOutcome = Omit<ItemResult, 'type' | 'batch' | 'item'>;

/** One item of one batch, on the host that runs it. */
export interface ItemTask {
  key: string;
  state: BatchState;
  item: ItemHead;
  /**
   * `unscored`: the text is complete, here or in the log, and has yet to be scored; `unwritten`:
   * the result waits until its batch is in the log.
   */
  phase: 'unscored' | 'waiting' | 'running' | 'scoring' | 'unwritten' | 'writing';
  progress: Progress;
  createdAt: number;
  /** Number of events that are in the log. */
  savedEvents: number;
  isSaving: boolean;
  /** Whether the log states that the text is complete. */
  isCompletionSaved: boolean;
  /** Location of the complete text in the store. */
  place: TextPlace | null;
  /** Result of the item; null while it is not known. */
  outcome: ItemOutcome | null;
  /** Time at which the text was complete. */
  textCompletedAt: number | null;
  retryAt: number;
  /** Number of responses with status 500. */
  failures: number;
  /** Number of failed runs, which determines the backoff. */
  failedRuns: number;
  runs: number;
  movedAt: number;
  isCarriedOver: boolean;
  avoidedUpstream: string | null;
  upstream: string | null;
  runController: AbortController | null;
  /** Aborts all work on the item. */
  controller: AbortController;
  /** Counts the text. */
  textLease: MemoryLease;
}

export interface TaskListOptions {
  clock: Clock;
  log: EventLog;
  memory?: Pick<MemoryBudget, 'hold' | 'hasRoom'>;
  /** Text of an item according to the log. */
  findText: (item: string) => EarlierText | null;
}

interface RetainedText {
  text: EarlierText;
  /** Size when it was retained; another batch may continue the text. */
  characters: number;
}

const taskKey = (state: BatchState, item: string): string => `${state.batch.id}/${item}`;

/** Holds the items that this host has to run, with their progress. */
const newTaskList = (options: TaskListOptions) => {
  const { clock, log, memory = unlimitedMemory, findText } = options;
  const tasks = new Map<string, ItemTask>();
  const tasksLease = memory.hold('metadata', 0);
  /** Unfinished texts of ended batches, whose groups may be sent again. */
  const retainedTexts = new Map<string, RetainedText>();
  let retainedCharacters = 0;
  const firstBatchByGroup = new Map<string, string>();

  const forgetText = (item: string): void => {
    retainedCharacters -= retainedTexts.get(item)?.characters ?? 0;
    retainedTexts.delete(item);
  };

  const isOverRetained = (): boolean =>
    retainedTexts.size > MAX_RETAINED_TEXTS || retainedCharacters > MAX_RETAINED_CHARACTERS;

  const retainText = ({ item, progress, textCompletedAt, place }: ItemTask): void => {
    if (progress.events.length === 0) return;
    forgetText(item.id);
    const isComplete = textCompletedAt !== null;
    const characters = countCharacters(progress);
    retainedTexts.set(item.id, {
      text: { digest: item.digest, progress, isComplete, place },
      characters,
    });
    retainedCharacters += characters;
    while (isOverRetained()) forgetText(retainedTexts.keys().next().value ?? '');
  };

  /** Existing text for the same request, if its versions are new enough. */
  const findReusable = ({ id, digest }: ItemHead, minVersion: number): EarlierText | null => {
    const retained = retainedTexts.get(id)?.text;
    const logged = findText(id);
    const isRetainedLonger =
      retained !== undefined &&
      !logged?.isComplete &&
      retained.progress.events.length >= (logged?.progress.events.length ?? 0);
    const text = isRetainedLonger ? retained : logged;
    if (text?.digest !== digest) return null;
    return meetsMinVersion(text.progress, minVersion) ? text : null;
  };

  const add = (state: BatchState, item: ItemHead): ItemTask => {
    const text = findReusable(item, state.batch.leastVersion);
    const firstBatch = firstBatchByGroup.get(item.group) ?? state.batch.id;
    firstBatchByGroup.delete(item.group);
    firstBatchByGroup.set(item.group, firstBatch);
    const [oldest] = firstBatchByGroup.keys();
    if (firstBatchByGroup.size > MAX_GROUPS && oldest !== undefined) {
      firstBatchByGroup.delete(oldest);
    }
    const progress = text?.progress ?? newProgress();
    const task: ItemTask = {
      key: taskKey(state, item.id),
      state,
      item,
      phase: text?.isComplete ? 'unscored' : 'waiting',
      progress,
      createdAt: clock.now(),
      savedEvents: 0,
      isSaving: false,
      isCompletionSaved: false,
      place: text?.place ?? null,
      outcome: null,
      textCompletedAt: null,
      retryAt: -Infinity,
      failures: 0,
      failedRuns: 0,
      runs: 0,
      movedAt: -Infinity,
      isCarriedOver: firstBatch !== state.batch.id,
      avoidedUpstream: null,
      upstream: null,
      runController: null,
      controller: new AbortController(),
      textLease: memory.hold('texts', countTextBytes(progress)),
    };
    tasks.set(task.key, task);
    tasksLease.add(TASK_BYTES);
    return task;
  };

  const expectedTokens = ({ item, progress }: ItemTask): number =>
    estimateRest(item.expectedTokens, progress.events.length * TOKENS_PER_EVENT);

  const endTask = (task: ItemTask): void => {
    const { state, item, phase, progress } = task;
    // An item with a result is removed as well; its result is logged when it is written.
    if (!state.finished.has(item.id)) {
      log.info('item.dropped', {
        requestId: item.id,
        batch: state.batch.id,
        isBatchEnded: state.isEnded,
        phase,
        events: progress.events.length,
      });
    }
    task.controller.abort('no longer wanted here');
    tasks.delete(task.key);
    tasksLease.add(-TASK_BYTES);
    task.textLease.release();
    retainText(task);
  };

  const mayAdd = (): boolean =>
    tasks.size < MIN_TASKS || (tasks.size < MAX_TASKS && memory.hasRoom('metadata', TASK_BYTES));

  /** Adds the unfinished items of a batch that are missing, as far as there is room for them. */
  const addMissing = (state: BatchState): ItemTask[] => {
    const added: ItemTask[] = [];
    for (const item of state.items.values()) {
      if (!mayAdd()) break;
      const isMissing = !state.finished.has(item.id) && !tasks.has(taskKey(state, item.id));
      if (isMissing) added.push(add(state, item));
    }
    return added;
  };

  return {
    /**
     * Reconciles the tasks with the batches that are assigned to this host.
     * @param canRun whether items of a batch could run; others take no room until they can
     * @returns the new tasks
     */
    reconcile: (
      assigned: BatchState[],
      canRun: (state: BatchState) => boolean = () => true,
    ): ItemTask[] => {
      const wanted = new Set(assigned);
      [...tasks.values()]
        .filter(({ state, item }) => !wanted.has(state) || state.finished.has(item.id))
        .forEach(endTask);
      return assigned.filter(canRun).flatMap(addMissing);
    },
    all: (): ItemTask[] => [...tasks.values()],
    get: (key: string): ItemTask | undefined => tasks.get(key),
    count: (): number => tasks.size,
    waiting: (): ItemTask[] =>
      [...tasks.values()].filter(
        ({ phase, retryAt }) => phase === 'waiting' && clock.now() >= retryAt,
      ),
    running: (): ItemTask[] => [...tasks.values()].filter(({ phase }) => phase === 'running'),
    expectedTokens,
  };
};

export type TaskList = ReturnType<typeof newTaskList>;

export default newTaskList;
