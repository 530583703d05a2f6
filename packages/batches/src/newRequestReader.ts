import type Clock from '@cyclamengate/common/Clock';
import type { EventLog } from '@cyclamengate/common/newEventLog';
import { restore } from '@cyclamengate/common/restore';
import { z } from 'zod';
import { itemSchema } from './batchRecord.js';
import type { Item, TextPlace } from './batchRecord.js';
import mapById from './mapById.js';
import type { BatchState } from './newBatches.js';
import type { Texts } from './newTexts.js';

/** A step's requests are some 150 KB, read in tens of milliseconds. */
const READ_MS = 700;
/** A store that does not give them is asked again after this. */
const RETRY_MS = 100;

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
 * Reads the whole items of batches, for the host that runs them or is asked for one.
 *
 * Items' requests are nine tenths of what is written of a batch. Were they in the topic that all
 * hosts follow, each host would read and parse what one of them needs, and hosts that start together
 * would share the store's bandwidth for seconds before any of them knew a batch.
 */
const newRequestReader = ({ clock, log, readTexts }: RequestReaderOptions) => {
  const reading = new Map<string, Promise<Map<string, Item> | null>>();
  const retryAt = new Map<string, number>();

  const read = async (state: BatchState, place: TextPlace): Promise<Map<string, Item> | null> => {
    const { id } = state.batch;
    const [text] = await readTexts([place], clock.now() + READ_MS);
    const items = text === undefined ? null : parseItems(text);
    reading.delete(id);
    if (items === null) {
      retryAt.set(id, clock.now() + RETRY_MS);
      log.warn('batch.requests-unread', { batch: id, place, isRead: text !== undefined });
      return null;
    }
    retryAt.delete(id);
    const requests = mapById(items);
    // Nothing of an ended batch runs: kept, its requests would only take memory.
    if (!state.isEnded) state.requests = requests;
    return requests;
  };

  const begin = (state: BatchState): Promise<Map<string, Item> | null> => {
    const { id } = state.batch;
    const known = reading.get(id);
    if (known) return known;
    const isTooSoon = clock.now() < (retryAt.get(id) ?? -Infinity);
    if (!state.requestsAt || isTooSoon) return Promise.resolve(null);
    const started = read(state, state.requestsAt);
    reading.set(id, started);
    return started;
  };

  return {
    /** Whether a batch's items are here; begins to read them where they are not. */
    isHere: (state: BatchState): boolean => {
      if (state.requests) return true;
      begin(state);
      return false;
    },
    /** A batch's items; null where the store does not give them now. */
    read: async (state: BatchState): Promise<Map<string, Item> | null> =>
      state.requests ?? begin(state),
  };
};

export type RequestReader = ReturnType<typeof newRequestReader>;

export default newRequestReader;
