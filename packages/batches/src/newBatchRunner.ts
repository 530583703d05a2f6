import type Clock from '@cyclamengate/common/Clock';
import type { Homes } from '@cyclamengate/common/homes';
import type { EventLog } from '@cyclamengate/common/newEventLog';
import type { Metrics } from '@cyclamengate/common/newMetrics';
import type { MemoryBudget } from '@cyclamengate/common/newMemoryBudget';
import newNotifier from '@cyclamengate/common/newNotifier';
import type { Health } from '@cyclamengate/engines/newHealth';
import type { Loads } from '@cyclamengate/engines/newLoads';
import type { Paces } from '@cyclamengate/engines/newPaces';
import type { Candidate } from '@cyclamengate/engines/chooseUpstream';
import type UpstreamClient from '@cyclamengate/engines/UpstreamClient';
import type { Candidates } from '@cyclamengate/gateway/newCandidates';
import type { EffectiveSettings } from '@cyclamengate/gateway/newSettingsView';
import type { Route } from '@cyclamengate/gateway/operatorSettings';
import type { WriteOutcome } from '@cyclamengate/store/newStoreWriter';
import type { BatchOwner, Handover, ItemResult, Part, TextPlace } from './batchRecord.js';
import { discardText, isVersionGone } from './discardText.js';
import { countFree } from './engineRoom.js';
import type { EventReader } from './EventReader.js';
import type { Batches } from './newBatches.js';
import type { BatchState } from './newBatchState.js';
import newAssignment from './newAssignment.js';
import newHandoverSender from './newHandoverSender.js';
import newItemDescriber from './newItemDescriber.js';
import newItemFinisher from './newItemFinisher.js';
import newItemMover from './newItemMover.js';
import newItemRetry from './newItemRetry.js';
import newItemRunner from './newItemRunner.js';
import newItemScopes from './newItemScopes.js';
import type { ItemScorer } from './newItemScorer.js';
import newPartSaver from './newPartSaver.js';
import newTakeovers from './newTakeovers.js';
import newTextRoom from './newTextRoom.js';
import newTaskList from './newTaskList.js';
import type { ItemTask } from './newTaskList.js';
import type { RequestReader } from './newRequestReader.js';
import newRefusals from './newRefusals.js';
import newRepeatCounter from './newRepeatCounter.js';
import newReservations from './newReservations.js';
import planStarts from './planStarts.js';

/** Interval at which waiting and running items are checked, in addition to each change. */
const TICK_MS = 40;
/** Interval at which a host without items checks whether it has come to own a batch. */
const IDLE_TICK_MS = 250;
/** Bounds the text that is lost when a host dies: 20 events of 35 ms. */
const SAVE_INTERVAL_MS = 700;
export interface BatchRunnerOptions {
  clock: Clock;
  log: EventLog;
  metrics: Pick<Metrics, 'count'>;
  memory: Pick<MemoryBudget, 'hold' | 'hasRoom' | 'limits'>;
  batches: Batches;
  client: UpstreamClient;
  newEventReader: () => EventReader;
  candidates: Candidates;
  health: Health;
  loads: Loads;
  paces: Pick<Paces, 'record'>;
  scorer: ItemScorer;
  readSettings: () => EffectiveSettings | null;
  /** Whether this host currently owns the batches of a subject that may run in some regions. */
  isOwner: (subject: string, homes: Homes) => boolean;
  /** Regions in which a batch may run; null for all. */
  homesOf: (batch: BatchOwner) => Homes;
  /** Whether the view of the log is current enough to start work on a batch. */
  mayWork: (state: BatchState) => boolean;
  isListed: (upstream: string) => boolean;
  /** The newest version of a model that its trainer has named. */
  newestVersion: (model: string) => number;
  /** Incarnation of this process. */
  incarnation: string;
  isLeaving: () => boolean;
  /**
   * The view of the batches holds everything that was written before this time on the monotonic
   * clock.
   */
  freshAt: () => number;
  /** Whether another incarnation of a host process is live. */
  isLive: (incarnation: string) => boolean;
  /** Whether an incarnation of a host process is known to be leaving or to have ended. */
  hasLeft: (host: string, incarnation: string) => boolean;
  writePart: (part: Part, deadline: number) => Promise<WriteOutcome>;
  write: (result: ItemResult, deadline: number) => Promise<WriteOutcome>;
  writeText: (batch: string, text: string, deadline: number) => Promise<TextPlace | null>;
  /** Reads the partial texts that other hosts have written so far. */
  readParts: (deadline: number) => Promise<unknown>;
  requests: RequestReader;
  /** Hands a batch over to another host; @returns its name, null if no host takes it. */
  handOverTo: (handover: Handover) => Promise<string | null>;
}

/** Runs the items of the batches that are assigned to this host. */
const newBatchRunner = (options: BatchRunnerOptions) => {
  const { clock, log, memory, batches, client, candidates, health, loads, paces, scorer } = options;
  const { newEventReader, newestVersion, readSettings, isOwner, homesOf, mayWork, isListed } =
    options;
  const tasks = newTaskList({ clock, log, memory, findText: batches.findText });
  const savePart = newPartSaver({ clock, writer: options.incarnation, write: options.writePart });
  const { write, writeText, readParts, requests } = options;
  const { abandon, score, resume } = newItemFinisher({
    clock,
    log,
    scorer,
    requests,
    mayWork,
    write,
    writeText,
  });
  const takeovers = newTakeovers({ clock, log, isOwner, readParts });
  const isAssigned = newAssignment({ ...options, takeovers });
  const refusals = newRefusals(clock);
  const notifier = newNotifier(clock);
  const handOver = newHandoverSender({
    log,
    batches,
    tasks,
    incarnation: options.incarnation,
    handOverTo: options.handOverTo,
    savePart,
    requests,
    onHandedOver: notifier.notify,
  });
  let nextSaveAt = -Infinity;

  const routeOf = ({ batch }: BatchState): Route | undefined =>
    readSettings()?.routesByName.get(batch.route);

  const reservations = newReservations(clock);
  const scopes = newItemScopes({ candidates, reservations, routeOf, homesOf });
  const describe = newItemDescriber({ clock, tasks, reservations, routeOf });
  const mover = newItemMover({
    clock,
    tasks,
    scopes,
    describe,
    reservations,
    refusals,
    candidates,
    isListed,
    routeOf,
    mayWork,
  });

  const retryIfBroken = newItemRetry(clock, log);
  const repeats = newRepeatCounter(options.metrics);
  const textRoom = newTextRoom(memory);
  const runItem = newItemRunner({
    clock,
    log,
    textRoom,
    client,
    newEventReader,
    health,
    loads,
    paces,
    refusals,
    reservations,
    repeats,
    notifier,
    requests,
    routeOf,
    abandon,
    score,
  });

  const isExpired = ({ batch }: BatchState, route: Route | undefined): boolean => {
    const retentionMs = route?.retentionMs ?? 0;
    return retentionMs > 0 && clock.wallTime() > batch.acceptedAt + retentionMs;
  };

  const abandonExpired = (task: ItemTask): boolean => {
    if (!isExpired(task.state, routeOf(task.state))) return false;
    void retryIfBroken(task, abandon(task, 'kept as long as it may be'));
    return true;
  };

  const abandonHopeless = (task: ItemTask): boolean => {
    if (!batches.isHopeless(task.item)) return false;
    void retryIfBroken(task, abandon(task, 'refused or failed in earlier batches'));
    return true;
  };

  /** Begins anew what only engines of a version that is gone could continue. */
  const discardHopeless = (list: ItemTask[], current: Candidate[]): void =>
    list
      .filter(({ state }) => routeOf(state)?.isSingleVersion)
      .filter((task) => isVersionGone(task, current, newestVersion(task.state.batch.model ?? '')))
      .forEach((task) => {
        log.warn('item.version-gone', {
          requestId: task.item.id,
          batch: task.state.batch.id,
          version: task.progress.versions[0],
          events: task.progress.events.length,
        });
        discardText(task, repeats);
      });

  const mayStart = (task: ItemTask): boolean => !abandonExpired(task) && !abandonHopeless(task);

  const startWaiting = (waiting: ItemTask[]): void =>
    scopes.group(waiting.filter(mayStart)).forEach((scope) => {
      const current = scopes.findCandidates(scope);
      discardHopeless(scope.list, current);
      // Mostly all slots are taken, and describing the items would be wasted work.
      const hasRoom = current.some((candidate) => countFree(candidate) > 0);
      if (!hasRoom && !scope.list.some(({ key }) => reservations.find(key) !== null)) return;
      planStarts(describe(scope.list, current), current, refusals.isRefusing).forEach(
        ({ key, candidate }) => {
          const task = tasks.get(key);
          const isAllowed =
            task &&
            refusals.mayStart(candidate.entry.id, task.state.batch.model) &&
            textRoom.mayBegin(task);
          if (isAllowed) void retryIfBroken(task, runItem(task, candidate));
        },
      );
    });

  const scoreUnlessExpired = (task: ItemTask): void => {
    const isAbandoned = mayWork(task.state) && abandonExpired(task);
    if (!isAbandoned) void retryIfBroken(task, score(task));
  };

  /** Resumes items whose text is complete, as far as the view and the log currently allow it. */
  const finishCompleted = (): void =>
    tasks.all().forEach((task) => {
      if (task.phase === 'unscored') scoreUnlessExpired(task);
      if (task.phase === 'unwritten') void retryIfBroken(task, resume(task));
    });

  /**
   * Starts waiting work if the view is current. A host that has just started reads the log from its
   * beginning and reads batches before their ends: without this check items would run, and texts be
   * scored, after the end of their batch.
   */
  const startWork = (): void => {
    finishCompleted();
    startWaiting(tasks.waiting().filter(({ state }) => mayWork(state)));
  };

  const saveParts = (): void => {
    if (clock.now() < nextSaveAt) return;
    nextSaveAt = clock.now() + SAVE_INTERVAL_MS;
    tasks.all().forEach(savePart);
  };

  const tick = (): void => {
    takeovers.reconcile();
    // Requests that can't be read hold a batch up only for as long as it may be kept.
    const assigned = batches
      .open()
      .filter(
        (state) =>
          isAssigned(state) && (requests.isLoaded(state) || isExpired(state, routeOf(state))),
      );
    tasks.reconcile(assigned, (state) => routeOf(state) !== undefined);
    // First, so that a long item that runs may get the last fast slot before waiting ones start.
    mover.moveToFaster();
    startWork();
    mover.moveAway();
    saveParts();
  };

  const run = async (signal: AbortSignal): Promise<void> => {
    batches.onChange(notifier.notify);
    signal.addEventListener('abort', notifier.notify);
    while (!signal.aborted) {
      tick();
      const isIdle = tasks.count() === 0;
      await notifier.wait(clock.now() + (isIdle ? IDLE_TICK_MS : TICK_MS));
    }
  };

  return { run, handOver, running: (): number => tasks.running().length, open: tasks.count };
};

export type BatchRunner = ReturnType<typeof newBatchRunner>;

export default newBatchRunner;
