import { Err, Ok } from '@cyclamengate/common/outcome';
import type { Result } from '@cyclamengate/common/outcome';
import Store from './Store.js';
import type {
  Appended,
  KeyedRecord,
  KeyedSnapshot,
  Producer,
  StoredRecord,
  StorePage,
} from './Store.js';
import type { StoreFault } from './storeFault.js';

/** Number of appends of a producer whose answers are retained, as in the platform's store. */
const RETAINED_ANSWERS = 5;
const POLL_INTERVAL_MS = 2;
/** Page size if the reader names none, as in the platform's store. */
const DEFAULT_PAGE_KB = 1_024;
const BYTES_IN_KB = 1_024;
/** Size of the length that precedes each record in a page. */
const RECORD_HEADER_BYTES = 4;
/** The largest record, and the largest call with the headers of its records, as on the platform. */
const MAX_RECORD_BYTES = 262_144;
const MAX_CALL_BYTES = 2_097_152;

interface Topic {
  first: number;
  records: StoredRecord[];
  /** By producer: its epoch, its last sequence number, and the offsets of its last appends. */
  producers: Map<string, { epoch: number; last: number; answers: Map<number, number> }>;
}

/** Injected faults, which can be changed at any time. */
export interface StoreFaults {
  /** Calls are not executed, and the caller is told so. */
  isRefusing: boolean;
  /** Calls are not executed and not answered. */
  isUnresponsive: boolean;
  /** Number of next appends that are executed but whose answers are lost. */
  answersToLose: number;
  /** Number of next appends that are unanswered, and executed by `executeDelayedAppends`. */
  appendsToDelay: number;
}

export const newNoFaults = (): StoreFaults => ({
  isRefusing: false,
  isUnresponsive: false,
  answersToLose: 0,
  appendsToDelay: 0,
});

/** Whether a body is as long as the length of its key says. */
const isKeyedBody = (body: Buffer): boolean =>
  body.length >= 1 + (body[0] ?? Number.POSITIVE_INFINITY);

const parseKeyedBody = (body: Buffer): { key: string; value: Buffer | null } => {
  const length = body[0] ?? 0;
  const value = body.subarray(1 + length);
  return {
    key: body.subarray(1, 1 + length).toString(),
    value: value.length > 0 ? value : null,
  };
};

/** Encodes a record of a keyed topic as it is stored. */
export const encodeKeyedBody = (key: string, value: string): Buffer =>
  Buffer.concat([Buffer.from([key.length]), Buffer.from(key), Buffer.from(value)]);

const isTooLarge = (bodies: Buffer[]): boolean =>
  bodies.some(({ length }) => length > MAX_RECORD_BYTES) ||
  bodies.reduce((sum, { length }) => sum + length + RECORD_HEADER_BYTES, 0) > MAX_CALL_BYTES;

const waitPollInterval = (): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, POLL_INTERVAL_MS);
  });

/**
 * An in-memory store for tests, the demo, and the stand-in that serves it over HTTP. All hosts
 * share one instance; each of them accesses it through a view with its own faults.
 */
const newMemoryStore = () => {
  const topics = new Map<string, Topic>();
  const delayedAppends: (() => void)[] = [];

  const getOrCreateTopic = (name: string): Topic => {
    const known = topics.get(name);
    if (known) return known;
    const created = { first: 0, records: [], producers: new Map() };
    topics.set(name, created);
    return created;
  };

  const endOffset = ({ first, records }: Topic): number => first + records.length;

  const put = (topic: Topic, bodies: Buffer[]): number => {
    const offset = endOffset(topic);
    bodies.forEach((body, index) => topic.records.push({ offset: offset + index, body }));
    return offset;
  };

  const append = (
    name: string,
    bodies: Buffer[],
    { name: producer, epoch, sequence }: Producer,
  ): Result<Appended, StoreFault> => {
    if (isTooLarge(bodies)) return Err({ type: 'rejected', reason: 'too large' });
    const topic = getOrCreateTopic(name);
    const known = topic.producers.get(producer);
    if (known && epoch < known.epoch) return Err({ type: 'fenced' });
    const answers = known?.epoch === epoch ? known.answers : new Map<number, number>();
    const repeated = answers.get(sequence);
    if (repeated !== undefined) return Ok({ offset: repeated });
    const isNext = known?.epoch !== epoch || sequence === known.last + 1;
    if (!isNext) return Err({ type: 'sequence', expected: (known?.last ?? -1) + 1 });
    const offset = put(topic, bodies);
    answers.set(sequence, offset);
    answers.delete(sequence - RETAINED_ANSWERS);
    topic.producers.set(producer, { epoch, last: sequence, answers });
    return Ok({ offset });
  };

  /** Records from an offset on, up to a number of bytes; at least one record if there is any. */
  const selectPage = (
    { first, records }: Topic,
    from: number,
    maxBytes: number,
  ): StoredRecord[] => {
    const rest = records.slice(from - first);
    let bytes = 0;
    const firstExcess = rest.findIndex(({ body }, index) => {
      bytes += body.length + RECORD_HEADER_BYTES;
      return index > 0 && bytes > maxBytes;
    });
    return firstExcess === -1 ? rest : rest.slice(0, firstExcess);
  };

  const read = (
    name: string,
    from: number,
    maxKb = DEFAULT_PAGE_KB,
  ): Result<StorePage, StoreFault> => {
    const topic = getOrCreateTopic(name);
    if (from < topic.first) return Err({ type: 'expired', first: topic.first });
    const records = selectPage(topic, from, maxKb * BYTES_IN_KB);
    return Ok({ end: endOffset(topic), first: topic.first, records });
  };

  const newest = (name: string): KeyedSnapshot => {
    const topic = getOrCreateTopic(name);
    const byKey = new Map<string, KeyedRecord>();
    topic.records.forEach(({ offset, body }) => {
      if (!isKeyedBody(body)) return;
      const { key, value } = parseKeyedBody(body);
      if (value === null) byKey.delete(key);
      else byKey.set(key, { key, offset, value });
    });
    return { end: endOffset(topic), records: [...byKey.values()] };
  };

  const trim = (name: string, before: number): void => {
    const topic = getOrCreateTopic(name);
    const retained = topic.records.filter(({ offset }) => offset >= before);
    topic.first = Math.max(topic.first, before);
    topic.records = retained;
  };

  /** Access to the store for one host, with injected faults. */
  const newView = (faults: StoreFaults = newNoFaults()): Store => {
    const injectedFault = (): Result<never, StoreFault> | null => {
      if (faults.isUnresponsive) return Err({ type: 'unknown', reason: 'silent' });
      return faults.isRefusing ? Err({ type: 'not-done', reason: 'refusing' }) : null;
    };

    class MemoryStore extends Store {
      async append(
        topic: string,
        records: Buffer[],
        producer: Producer,
      ): Promise<Result<Appended, StoreFault>> {
        const failed = injectedFault();
        if (failed) return failed;
        if (faults.appendsToDelay > 0) {
          faults.appendsToDelay -= 1;
          delayedAppends.push(() => append(topic, records, producer));
          return Err({ type: 'unknown', reason: 'late' });
        }
        const answer = append(topic, records, producer);
        if (faults.answersToLose === 0) return answer;
        faults.answersToLose -= 1;
        return Err({ type: 'unknown', reason: 'answer lost' });
      }

      async read(
        topic: string,
        from: number,
        waitMs: number,
        signal?: AbortSignal,
        maxKb?: number,
      ): Promise<Result<StorePage, StoreFault>> {
        const waitUntil = Date.now() + waitMs;
        for (;;) {
          const page = injectedFault() ?? read(topic, from, maxKb);
          const isEmpty = page.ok && page.val.records.length === 0;
          if (!isEmpty || Date.now() >= waitUntil || signal?.aborted) return page;
          await waitPollInterval();
        }
      }

      async trim(topic: string, before: number): Promise<Result<void, StoreFault>> {
        const failed = injectedFault();
        if (!failed) trim(topic, before);
        return failed ?? Ok(undefined);
      }

      async newest(topic: string): Promise<Result<KeyedSnapshot, StoreFault>> {
        return injectedFault() ?? Ok(newest(topic));
      }

      encodeKeyed(key: string, value: Buffer | null): Buffer {
        return encodeKeyedBody(key, value?.toString() ?? '');
      }

      parseKeyed({ offset, body }: StoredRecord): KeyedRecord | null {
        return isKeyedBody(body) ? { offset, ...parseKeyedBody(body) } : null;
      }
    }
    return new MemoryStore();
  };

  return {
    newView,
    append,
    read,
    newest,
    /** Writes without a producer, as the platform itself does. */
    put: (topic: string, bodies: Buffer[]): number => put(getOrCreateTopic(topic), bodies),
    bodies: (topic: string): Buffer[] => getOrCreateTopic(topic).records.map(({ body }) => body),
    /** Executes the appends that were delayed. */
    executeDelayedAppends: (): void => delayedAppends.splice(0).forEach((execute) => execute()),
    /** Deletes the records before an offset. */
    trim,
  };
};

export type MemoryStore = ReturnType<typeof newMemoryStore>;

export default newMemoryStore;
