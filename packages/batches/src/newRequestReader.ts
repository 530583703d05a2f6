import type Clock from '@cyclamengate/common/Clock';
import type { EventLog } from '@cyclamengate/common/newEventLog';
import { restore } from '@cyclamengate/common/restore';
import { z } from 'zod';
import { itemSchema } from './batchRecord.js';
import type { Item, TextPlace } from './batchRecord.js';
import mapById from './mapById.js';
import type { BatchState } from './newBatchState.js';
import type { Texts } from './newTexts.js';

/** The requests of a step are about 150 KB and are read in tens of milliseconds. */
const READ_TIMEOUT_MS = 700;
/** Delay before a failed read is retried. */
const RETRY_DELAY_MS = 100;

const itemsSchema = z.array(itemSchema);

export interface RequestReaderOptions {
  clock: Clock;
  log: EventLog;
  readTexts: Texts['read'];
}

const parseItems = (text: string): Item[] | null => {
  try {
    const restored = restore(itemsSchema, JSON.parse(text));
    return restored.ok ? restored.val : null;
  } catch {
    return null;
  }
};

/**
 * Reads the items of batches with their requests, for the host that runs them or is asked for one.
 *
 * Requests are nine tenths of what is written for a batch. If they were in the topic that all hosts
 * follow, each host would read and parse what only one of them needs, and hosts that start together
 * would share the store's bandwidth for seconds before any of them knew a batch.
 */
const newRequestReader = ({ clock, log, readTexts }: RequestReaderOptions) => {
  const pendingReads = new Map<string, Promise<Map<string, Item> | null>>();
  const retryAt = new Map<string, number>();

  const read = async (state: BatchState, place: TextPlace): Promise<Map<string, Item> | null> => {
    const { id } = state.batch;
    const [text] = await readTexts([place], clock.now() + READ_TIMEOUT_MS);
    const items = text === undefined ? null : parseItems(text);
    pendingReads.delete(id);
    if (items === null) {
      retryAt.set(id, clock.now() + RETRY_DELAY_MS);
      log.warn('batch.requests-unread', { batch: id, place, isRead: text !== undefined });
      return null;
    }
    retryAt.delete(id);
    const requests = mapById(items);
    // No item of an ended batch runs, so retaining its requests would only use memory.
    if (!state.isEnded) state.requests = requests;
    return requests;
  };

  const startRead = (state: BatchState): Promise<Map<string, Item> | null> => {
    const { id } = state.batch;
    const pendingRead = pendingReads.get(id);
    if (pendingRead) return pendingRead;
    const isTooSoon = clock.now() < (retryAt.get(id) ?? -Infinity);
    if (!state.requestsPlace || isTooSoon) return Promise.resolve(null);
    const started = read(state, state.requestsPlace);
    pendingReads.set(id, started);
    return started;
  };

  return {
    /** Whether a batch's requests are loaded; starts to read them if they are not. */
    isLoaded: (state: BatchState): boolean => {
      if (state.requests) return true;
      startRead(state);
      return false;
    },
    /** A batch's items with their requests; null if they cannot be read now. */
    read: async (state: BatchState): Promise<Map<string, Item> | null> =>
      state.requests ?? startRead(state),
  };
};

export type RequestReader = ReturnType<typeof newRequestReader>;

export default newRequestReader;
