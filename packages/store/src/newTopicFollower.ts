import type Clock from '@cyclamengate/common/Clock';
import type { EventLog } from '@cyclamengate/common/newEventLog';
import hadOutage from './hadOutage.js';
import type Store from './Store.js';
import type { StoredRecord } from './Store.js';

/** How long the store holds a read open; bounds the staleness of a view without new records. */
const READ_WAIT_MS = 500;
/** Delay after a failed read, so that an outage does not cause a flood of calls. */
const RETRY_DELAY_MS = 100;
/** How often `catchUp` checks whether the initial read has finished. */
const INITIAL_READ_POLL_MS = 20;
/** Page sizes in KiB. The smallest fits the largest record; the largest is the store's limit. */
const MIN_PAGE_KB = 256;
const MAX_PAGE_KB = 1_024;
const PAGE_GROWTH_KB = 64;

export interface TopicFollowerOptions {
  clock: Clock;
  log: EventLog;
  store: Store;
  topic: string;
  /** Minimum time between two reads of `run`; a longer time adds delay but saves calls. */
  readIntervalMs?: () => number;
  apply: (records: StoredRecord[]) => void;
  /** Called when the view holds everything written before `at`, on the monotonic clock. */
  onCaughtUp?: (at: number) => void;
  /** Called when records expired before they were read, also on a host that has just started. */
  onGap?: () => void;
}

/**
 * Follows one topic from its oldest record on, and tracks how recent its view is.
 *
 * A lagging view lacks records that exist, such as a batch that another host has just accepted.
 * `catchUp` reads to the current end of the topic, so that a record can be reported as missing
 * reliably.
 *
 * When many hosts start at once they all read from the beginning, and share the bandwidth of the
 * store and of their links. Full pages then take longer than the timeout of a call, so that each
 * host requests the same page repeatedly and none ever completes its view. Therefore a failed read
 * halves the page size, and each successful read increases it slightly.
 */
const newTopicFollower = (options: TopicFollowerOptions) => {
  const { clock, log, store, topic, readIntervalMs = () => 0, apply, onCaughtUp, onGap } = options;
  let next = 0;
  /** Where reading goes on if nothing can be read after expired records; null once it can. */
  let nextBeforeGap: number | null = null;
  let freshAt = -Infinity;
  /** When the newest outage ended. */
  let lastOutageEndedAt = -Infinity;
  /** The highest end offset that the store has returned. */
  let knownEnd = 0;
  let isUnavailable = false;
  let isRunning = false;
  let pageKb = MIN_PAGE_KB;
  const startedAt = clock.now();
  /** Totals of the reads until the view was complete for the first time. */
  const initialRead = { reads: 0, records: 0, bytes: 0 };

  const recordInitialRead = (records: StoredRecord[], isCaughtUp: boolean): void => {
    if (freshAt !== -Infinity) return;
    initialRead.reads += 1;
    initialRead.records += records.length;
    initialRead.bytes += records.reduce((sum, { body }) => sum + body.length, 0);
    const tookMs = Math.round(clock.now() - startedAt);
    if (isCaughtUp) log.info('store.caught-up', { topic, ...initialRead, tookMs });
  };

  const recordRecovery = (): void => {
    if (isUnavailable) log.info('store.read-back', { topic, next });
    isUnavailable = false;
  };

  const recordFailure = (reason: string): void => {
    if (!isUnavailable) log.warn('store.read-failed', { topic, next, reason });
    isUnavailable = true;
  };

  /** Applies records that are new to the view; a concurrent read may have applied some already. */
  const applyNew = (records: StoredRecord[]): void => {
    const fresh = records.filter(({ offset }) => offset >= next);
    const newest = fresh.at(-1);
    if (!newest) return;
    next = newest.offset + 1;
    apply(fresh);
  };

  const readOnce = async (waitMs: number, signal?: AbortSignal): Promise<boolean> => {
    const requestedAt = clock.now();
    const from = next;
    const page = await store.read(topic, from, waitMs, signal, pageKb);
    // A store that has records returns some; asking at once again would go on without a pause.
    if (page.ok && page.val.records.length === 0 && page.val.end > from) {
      recordFailure('no-records');
      return false;
    }
    if (page.ok) {
      nextBeforeGap = null;
      recordRecovery();
      pageKb = Math.min(MAX_PAGE_KB, pageKb + PAGE_GROWTH_KB);
      applyNew(page.val.records);
      knownEnd = Math.max(knownEnd, page.val.end);
      const isCaughtUp = next >= knownEnd;
      recordInitialRead(page.val.records, isCaughtUp);
      if (isCaughtUp) {
        if (hadOutage(freshAt, requestedAt)) lastOutageEndedAt = clock.now();
        freshAt = Math.max(freshAt, requestedAt);
        onCaughtUp?.(freshAt);
      }
      return true;
    }
    if (page.val.type === 'expired' && page.val.first > next) {
      log.warn('store.history-gone', { topic, from: next, first: page.val.first });
      nextBeforeGap = next;
      next = page.val.first;
      onGap?.();
      return true;
    }
    // The store may have stated a first record that it doesn't have.
    next = nextBeforeGap ?? next;
    nextBeforeGap = null;
    pageKb = Math.max(MIN_PAGE_KB, pageKb / 2);
    recordFailure(page.val.type);
    return false;
  };

  const run = async (signal: AbortSignal): Promise<void> => {
    isRunning = true;
    while (!signal.aborted) {
      const nextReadAt = clock.now() + readIntervalMs();
      const isRead = await readOnce(READ_WAIT_MS, signal);
      const pauseUntil = next < knownEnd ? clock.now() : nextReadAt;
      await clock.sleepUntil(isRead ? pauseUntil : clock.now() + RETRY_DELAY_MS, signal);
    }
  };

  /**
   * Reads until the view holds all records that the topic held at the time of the call.
   * @returns false if the deadline passed before that
   */
  const catchUp = async (deadline: number): Promise<boolean> => {
    const requestedAt = clock.now();
    while (freshAt < requestedAt && clock.now() < deadline) {
      // `run` is still reading the whole topic; a second reader would share its bandwidth.
      const isInitialReadRunning = isRunning && freshAt === -Infinity && !isUnavailable;
      const isRead = !isInitialReadRunning && (await readOnce(0));
      if (isInitialReadRunning) await clock.sleepUntil(clock.now() + INITIAL_READ_POLL_MS);
      else if (!isRead) await clock.sleepUntil(clock.now() + RETRY_DELAY_MS);
    }
    return freshAt >= requestedAt;
  };

  return {
    run,
    catchUp,
    /** Monotonic time before which all written records are in the view. */
    freshAt: (): number => freshAt,
    /** When the newest outage ended; minus infinity before the view is first complete. */
    lastOutageEndedAt: (): number => lastOutageEndedAt,
    /** Whether the newest read failed. */
    isUnavailable: (): boolean => isUnavailable,
  };
};

export type TopicFollower = ReturnType<typeof newTopicFollower>;

export default newTopicFollower;
