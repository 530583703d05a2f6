import type { Candidate } from '@cyclamengate/engines/chooseUpstream';
import type { Loads } from '@cyclamengate/engines/newLoads';
import type { Paces } from '@cyclamengate/engines/newPaces';
import roundPace from '@cyclamengate/engines/roundPace';
import { getLoadedVersion } from '@cyclamengate/engines/upstreamEntry';
import type UpstreamClient from '@cyclamengate/engines/UpstreamClient';
import type { EventReader } from './EventReader.js';
import type { ItemRequest } from './batchRecord.js';
import { discardText } from './discardText.js';
import newItemRequest from './newItemRequest.js';
import type { Refusals } from './newRefusals.js';
import type { RepeatCounter } from './newRepeatCounter.js';
import type { LoadedRequest, RequestReader } from './newRequestReader.js';
import type { Reservations } from './newReservations.js';
import newRunEndHandler from './newRunEndHandler.js';
import type { RunEndHandlerOptions } from './newRunEndHandler.js';
import type { ItemTask } from './newTaskList.js';
import type { RunRoom, TextRoom } from './newTextRoom.js';
import { meetsMinVersion } from './progress.js';
import runOnce from './runOnce.js';
import type { RunEnd } from './runOnce.js';

/** Of all models alike, so that engines of different models can be compared. */
const EVENT_KIND = 'event';
/** Delay before a request that could not be read, or held, is read again. */
const UNREAD_RETRY_MS = 100;

export interface ItemRunnerOptions extends RunEndHandlerOptions {
  textRoom: Pick<TextRoom, 'begin'>;
  client: UpstreamClient;
  newEventReader: () => EventReader;
  loads: Loads;
  paces: Pick<Paces, 'record'>;
  refusals: Pick<Refusals, 'record' | 'clear'>;
  reservations: Pick<Reservations, 'release'>;
  repeats: RepeatCounter;
  requests: Pick<RequestReader, 'load' | 'retryAt'>;
}

/** Runs an item once on an engine, and handles the end of the run. */
const newItemRunner = (options: ItemRunnerOptions) => {
  const { clock, log, textRoom, client, newEventReader, loads, paces, refusals } = options;
  const { reservations, repeats, requests, routeOf } = options;
  const handleRunEnd = newRunEndHandler(options);

  /**
   * Discards text that mixes versions where that is not allowed, or that is too old; it is
   * generated again.
   */
  const discardUnusable = (task: ItemTask, isSingleVersion: boolean): void => {
    const { progress, state } = task;
    const isMixed = isSingleVersion && progress.versions.length > 1;
    if (!isMixed && meetsMinVersion(progress, state.batch.leastVersion)) return;
    discardText(task, repeats);
  };

  /** Discards a text that had no room; it is generated again once others have ended. */
  const dropText = (task: ItemTask): void => {
    log.warn('item.text-dropped', {
      requestId: task.item.id,
      batch: task.state.batch.id,
      events: task.progress.events.length,
    });
    discardText(task, repeats);
  };

  return async (task: ItemTask, { entry, pace }: Candidate): Promise<void> => {
    const { state, item } = task;
    const { batch } = state;
    const route = routeOf(state);
    const isSingleVersion = route?.isSingleVersion ?? false;
    const runController = new AbortController();
    task.phase = 'running';
    task.upstream = entry.id;
    task.runController = runController;
    task.runs += 1;
    reservations.release(task.key);
    loads.begin(entry.id);
    const { progress } = task;
    const isContinued = task.runs === 1 && !task.isCarriedOver && progress.events.length > 0;
    if (isContinued) repeats.countRun('host_change', progress.events.length);
    log.info('item.started', {
      requestId: item.id,
      batch: batch.id,
      upstream: entry.id,
      load: loads.estimate(entry.id),
      slots: entry.slots,
      pace: roundPace(pace),
      version: batch.model === null ? null : getLoadedVersion(entry, batch.model),
      lastEventId: progress.lastEventId,
      run: task.runs,
    });
    const room = textRoom.begin(task);
    let loaded: LoadedRequest | null = null;
    const run = async (request: ItemRequest, holdText: RunRoom['hold']): Promise<RunEnd> =>
      runOnce({
        clock,
        client,
        newEventReader,
        entry,
        progress,
        request: newItemRequest(clock, task, request, route),
        isVersionAllowed: (version) =>
          version >= batch.leastVersion &&
          (!isSingleVersion || progress.versions.every((other) => other === version)),
        holdText,
        onEvent: (gapMs) => paces.record(entry, EVENT_KIND, gapMs),
        onLoad: (load) => loads.report(entry.id, load),
        onAccepted: () => refusals.clear(entry.id, batch.model),
        signal: AbortSignal.any([task.controller.signal, runController.signal]),
      });
    const retryAt = (): number =>
      Math.max(clock.now() + UNREAD_RETRY_MS, requests.retryAt(state, item.id));
    let end: RunEnd = { type: 'unread', retryAt: retryAt() };
    try {
      loaded = room && (await requests.load(state, item.id));
      end =
        loaded && room
          ? await run(loaded.request, room.hold)
          : { type: 'unread', retryAt: retryAt() };
    } finally {
      loaded?.release();
      room?.end(end.type === 'whole');
      loads.end(entry.id);
      task.upstream = null;
    }
    if (end.type === 'no-room') dropText(task);
    if (end.type !== 'whole') discardUnusable(task, isSingleVersion);
    await handleRunEnd(task, entry.id, end);
  };
};

export default newItemRunner;
