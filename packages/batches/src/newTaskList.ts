import type Clock from '@cyclamengate/common/Clock';
import type { EventLog } from '@cyclamengate/common/newEventLog';
import type { Item, ItemHead, ItemResult, TextPlace } from './batchRecord.js';
import type { BatchState, EarlierText } from './newBatches.js';
import type { WaitingItem } from './planStarts.js';
import { isFreshEnough, newProgress } from './progress.js';
import type { Progress } from './progress.js';

/** Tokens in one event of a stream, by the platform's usual engines. */
const TOKENS_AN_EVENT = 63;
/** An item that is longer than its hint is taken to go on for so long. */
const LEAST_EXPECTED_TOKENS = 160;
const UNKNOWN_LENGTH_TOKENS = 1_200;
/** Texts that are kept when their batch ends before they do; about 10 KB each. */
const MOST_PARTS = 400;

/** An item's result, but for whose it is. */
export type ItemEnding = Omit<ItemResult, 'type' | 'batch' | 'item'>;

/** One item of one batch, on the host that runs it. */
export interface ItemTask {
  key: string;
  state: BatchState;
  item: Item;
  /** Of its request. */
  digest: string;
  /**
   * `unscored`: its text is whole, here or from the log, and its score is still to be asked for;
   * `unwritten`: its result waits until its batch stands in the log.
   */
  phase: 'unscored' | 'waiting' | 'running' | 'scoring' | 'unwritten' | 'writing';
  progress: Progress;
  createdAt: number;
  /** Events that stand in the log. */
  saved: number;
  isSaving: boolean;
  /** The log says that the text is whole. */
  isWholeSaved: boolean;
  /** Where the store has the whole text. */
  place: TextPlace | null;
  /** What became of it; null while it is not known. */
  ending: ItemEnding | null;
  /** When the text was whole. */
  textAt: number | null;
  notBefore: number;
  /** Answers with status 500. */
  failures: number;
  /** Runs that brought nothing, in a row. */
  setbacks: number;
  runs: number;
  movedAt: number;
  isCarried: boolean;
  avoid: string | null;
  upstream: string | null;
  run: AbortController | null;
  /** Ends all work on the item. */
  controller: AbortController;
}

export interface TaskListOptions {
  clock: Clock;
  log: EventLog;
  /** Text of an item as the log has it. */
  findText: (item: string) => EarlierText | null;
}

const keyOf = (state: BatchState, item: string): string => `${state.batch.id}/${item}`;

/** The items that this host has to run, with how far each is. */
const newTaskList = ({ clock, log, findText }: TaskListOptions) => {
  const tasks = new Map<string, ItemTask>();
  /** Texts that were under way when their batch ended; their groups may come again. */
  const parts = new Map<string, EarlierText>();
  const seenGroups = new Map<string, string>();

  const keepPart = ({ item, digest, progress, textAt, place }: ItemTask): void => {
    if (progress.events.length === 0) return;
    parts.delete(item.id);
    parts.set(item.id, { digest, progress, isWhole: textAt !== null, place });
    const [oldest] = parts.keys();
    if (parts.size > MOST_PARTS && oldest !== undefined) parts.delete(oldest);
  };

  /** Text of the same request that is there already, where it is new enough. */
  const findUsable = ({ id, digest }: ItemHead, leastVersion: number): EarlierText | null => {
    const here = parts.get(id);
    const logged = findText(id);
    const isHereLonger =
      here !== undefined &&
      !logged?.isWhole &&
      here.progress.events.length >= (logged?.progress.events.length ?? 0);
    const found = isHereLonger ? here : logged;
    if (found?.digest !== digest) return null;
    return isFreshEnough(found.progress, leastVersion) ? found : null;
  };

  const add = (state: BatchState, item: Item, head: ItemHead): ItemTask => {
    const text = findUsable(head, state.batch.leastVersion);
    const firstBatch = seenGroups.get(item.group) ?? state.batch.id;
    seenGroups.set(item.group, firstBatch);
    const task: ItemTask = {
      key: keyOf(state, item.id),
      state,
      item,
      digest: head.digest,
      phase: text?.isWhole ? 'unscored' : 'waiting',
      progress: text?.progress ?? newProgress(),
      createdAt: clock.now(),
      saved: 0,
      isSaving: false,
      isWholeSaved: false,
      place: text?.place ?? null,
      ending: null,
      textAt: null,
      notBefore: -Infinity,
      failures: 0,
      setbacks: 0,
      runs: 0,
      movedAt: -Infinity,
      isCarried: firstBatch !== state.batch.id,
      avoid: null,
      upstream: null,
      run: null,
      controller: new AbortController(),
    };
    tasks.set(task.key, task);
    return task;
  };

  const expectedTokens = ({ item, progress }: ItemTask): number => {
    const whole = item.expectedTokens ?? UNKNOWN_LENGTH_TOKENS;
    return Math.max(LEAST_EXPECTED_TOKENS, whole - progress.events.length * TOKENS_AN_EVENT);
  };

  const end = (task: ItemTask): void => {
    const { state, item, phase, progress } = task;
    // An item with a result ends here as well; its result has a line of its own.
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
    keepPart(task);
  };

  return {
    /**
     * Brings the tasks in line with the batches that are this host's now and whose items are here.
     * @returns tasks that are new
     */
    reconcile: (mine: BatchState[]): ItemTask[] => {
      const wanted = new Set(mine);
      [...tasks.values()]
        .filter(({ state, item }) => !wanted.has(state) || state.finished.has(item.id))
        .forEach(end);
      return mine.flatMap((state) =>
        [...state.items.values()]
          .filter(({ id }) => !state.finished.has(id) && !tasks.has(keyOf(state, id)))
          .flatMap((head) => {
            const item = state.requests?.get(head.id);
            return item ? [add(state, item, head)] : [];
          }),
      );
    },
    all: (): ItemTask[] => [...tasks.values()],
    get: (key: string): ItemTask | undefined => tasks.get(key),
    count: (): number => tasks.size,
    waiting: (): ItemTask[] =>
      [...tasks.values()].filter(
        ({ phase, notBefore }) => phase === 'waiting' && clock.now() >= notBefore,
      ),
    running: (): ItemTask[] => [...tasks.values()].filter(({ phase }) => phase === 'running'),
    expectedTokens,
    describe: (task: ItemTask, isSingleVersion: boolean): WaitingItem => {
      const { batch } = task.state;
      return {
        key: task.key,
        model: batch.model,
        leastVersion: batch.leastVersion,
        onlyVersion: isSingleVersion ? (task.progress.versions[0] ?? null) : null,
        expectedTokens: expectedTokens(task),
        isCarried: task.isCarried,
        acceptedAt: batch.acceptedAt,
        avoid: task.avoid,
      };
    },
  };
};

export type TaskList = ReturnType<typeof newTaskList>;

export default newTaskList;
