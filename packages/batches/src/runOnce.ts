import type Clock from '@cyclamengate/common/Clock';
import newIdleTimeout from '@cyclamengate/engines/newIdleTimeout';
import type { ReportedLoad } from '@cyclamengate/engines/newLoads';
import type { UpstreamEntry } from '@cyclamengate/engines/upstreamEntry';
import TruncatedAnswer from '@cyclamengate/engines/TruncatedAnswer';
import type UpstreamClient from '@cyclamengate/engines/UpstreamClient';
import type { UpstreamAnswer, UpstreamRequest } from '@cyclamengate/engines/UpstreamClient';
import { discardAnswerBody } from '@cyclamengate/gateway/readAnswerBody';
import computeTransferMs from '@cyclamengate/engines/computeTransferMs';
import type { EventReader } from './EventReader.js';
import type { RepeatCause } from './newRepeatCounter.js';
import type { Progress } from './progress.js';

/**
 * An engine without an event within this time is unresponsive: prompts are read within tens of
 * milliseconds.
 */
const FIRST_EVENT_TIMEOUT_MS = 2_500;
/**
 * Maximum gap within a stream. A healthy engine generates an event every 35 ms, a slow one every
 * 150 ms.
 */
const EVENT_TIMEOUT_MS = 1_200;

/** Delay before an item is run again for whose text there was no room. */
const NO_ROOM_RETRY_MS = 500;

const MAX_WORDED_ID_LENGTH = 40;
/** Ids rise by one and are sent to the next engine as a header. */
const EVENT_ID = /^\d{1,15}$/;

/** Whether an event comes next after the last one, of which there may be none. */
const isNextEvent = (id: string, lastId: string | null): boolean =>
  EVENT_ID.test(id) && (lastId === null || Number(id) === Number(lastId) + 1);

export type InterruptionCause = Extract<RepeatCause, 'moved' | 'silent' | 'cut' | 'version'>;

/** Outcome of one run of an item on one engine. */
export type RunEnd =
  | { type: 'whole' }
  /** Interrupted by a failure or by this host; the text so far remains valid. */
  | { type: 'interrupted'; reason: string; cause: InterruptionCause }
  | { type: 'not-run'; reason: string; isUnreachable: boolean }
  /** Not sent, since engines ended while they ran the item; `retryAt` is on the monotonic clock. */
  | { type: 'held'; retryAt: number }
  /** Not sent, since its request can't be read, or held, now; `retryAt` as above. */
  | { type: 'unread'; retryAt: number }
  /** Its text does not fit beside the other texts that this host holds; `retryAt` as above. */
  | { type: 'no-room'; retryAt: number }
  /** The engine ran the item and failed. */
  | { type: 'failed'; status: number }
  /** What the engine sent broke the code that reads it. */
  | { type: 'broken'; error: string }
  /** The engine reports that the item can never succeed. */
  | { type: 'impossible' };

export interface RunOnceOptions {
  clock: Clock;
  client: UpstreamClient;
  newEventReader: () => EventReader;
  entry: UpstreamEntry;
  request: UpstreamRequest;
  /** Extended as events arrive. */
  progress: Progress;
  /** Whether text of this version may be used. */
  isVersionAllowed: (version: number) => boolean;
  /** Called with the size of each part of the text; @returns whether this host can hold it. */
  holdText: (bytes: number) => boolean;
  /** @param gapMs time since the previous event */
  onEvent: (gapMs: number) => void;
  onLoad: (load: ReportedLoad) => void;
  /** Called when the engine begins to answer the request. */
  onAccepted: () => void;
  signal: AbortSignal;
}

const interrupted = (reason: string, cause: InterruptionCause): RunEnd => ({
  type: 'interrupted',
  reason,
  cause,
});

/** Runs an item once, resuming after its progress, and appends the events to the progress. */
const runOnce = async (options: RunOnceOptions): Promise<RunEnd> => {
  const { clock, client, newEventReader, entry, request, progress } = options;
  const { isVersionAllowed, holdText, onEvent, onLoad, onAccepted, signal } = options;
  const firstTimeoutMs = FIRST_EVENT_TIMEOUT_MS + computeTransferMs(request.body);
  const idleTimeout = newIdleTimeout({
    clock,
    signal,
    firstTimeoutMs,
    timeoutMs: EVENT_TIMEOUT_MS,
  });
  const runSignal = AbortSignal.any([signal, idleTimeout.signal]);

  const readEvents = async (answer: UpstreamAnswer): Promise<RunEnd> => {
    const reader = newEventReader();
    let { version } = answer;
    // The first gap is not reported, since it includes the wait for a slot and the reading of the
    // prompt.
    let lastAt: number | null = null;
    for await (const chunk of answer.body) {
      // Before it is read: an event that never ends would be collected until this host ends.
      if (!holdText(chunk.length)) {
        return { type: 'no-room', retryAt: clock.now() + NO_ROOM_RETRY_MS };
      }
      const events = reader(chunk);
      // Bytes alone are no sign of life: those that are no answer may come without end.
      if (events.length > 0) idleTimeout.reset();
      if (lastAt !== null) {
        const gapMs = (clock.now() - lastAt) / events.length;
        events.forEach(() => onEvent(gapMs));
      }
      if (events.length > 0) lastAt = clock.now();
      for (const event of events) {
        version = event.version ?? version;
        if (!isNextEvent(event.id, progress.lastEventId)) {
          const id = event.id.slice(0, MAX_WORDED_ID_LENGTH);
          return interrupted(`event ${id} after ${progress.lastEventId}`, 'cut');
        }
        if (version === null || !isVersionAllowed(version)) {
          return interrupted(`version ${version} is not allowed`, 'version');
        }
        progress.events.push(event.data);
        progress.lastEventId = event.id;
        if (!progress.versions.includes(version)) progress.versions.push(version);
      }
    }
    return progress.events.length > 0 ? { type: 'whole' } : interrupted('no events', 'cut');
  };

  const findCause = (): InterruptionCause => {
    if (signal.aborted) return 'moved';
    return idleTimeout.signal.aborted ? 'silent' : 'cut';
  };

  const endReason = (): string => {
    if (signal.aborted) return String(signal.reason);
    return idleTimeout.signal.aborted ? 'silent' : 'broken off';
  };

  const stream = async (): Promise<RunEnd> => {
    const firstByteBy = clock.now() + firstTimeoutMs;
    const outcome = await client.send(entry, request, firstByteBy, runSignal);
    if (outcome.type === 'fault') {
      const { fault } = outcome;
      if (fault.type === 'held') return fault;
      if (signal.aborted) return interrupted(endReason(), findCause());
      if (fault.type === 'unknown') {
        return interrupted(fault.reason, clock.now() >= firstByteBy ? 'silent' : 'cut');
      }
      if (fault.load) onLoad(fault.load);
      return { type: 'not-run', reason: fault.reason, isUnreachable: fault.isUnreachable };
    }
    const { answer } = outcome;
    if (answer.load) onLoad(answer.load);
    if (answer.status < 300) {
      onAccepted();
      return readEvents(answer);
    }
    // Only a connection whose answer has been read to its end can carry the next request.
    await discardAnswerBody(answer);
    return answer.status === 422
      ? { type: 'impossible' }
      : { type: 'failed', status: answer.status };
  };

  try {
    const end = await stream();
    return end.type === 'whole' && runSignal.aborted ? interrupted(endReason(), findCause()) : end;
  } catch (error) {
    if (!(error instanceof TruncatedAnswer)) {
      return { type: 'broken', error: (error as Error).stack ?? '' };
    }
    return interrupted(`${endReason()}: ${error.message}`, findCause());
  } finally {
    idleTimeout.end();
  }
};

export default runOnce;
