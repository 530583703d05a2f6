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

/** The store keeps the answers of so many appends of a producer, as the platform's does. */
const REMEMBERED_APPENDS = 5;
const POLL_MS = 2;
/** What a page holds where its reader names no size, as the platform's does. */
const MOST_KB = 1_024;
const BYTES_IN_KB = 1_024;
/** A record's length stands before it in a page. */
const FRAME_BYTES = 4;

interface Topic {
  first: number;
  records: StoredRecord[];
  /** By producer: its epoch, its last number, and the answers to its last appends. */
  producers: Map<string, { epoch: number; last: number; answers: Map<number, number> }>;
}

/** How the store misbehaves, changed while it runs. */
export interface StoreFaults {
  /** Nothing is done, and the caller learns so. */
  isRefusing: boolean;
  /** Nothing is done, and the caller learns nothing. */
  isSilent: boolean;
  /** The next so many appends are done, and their answers lost. */
  lostAnswers: number;
  /** The next so many appends get no answer, and land when `landLate` is called. */
  lateAppends: number;
}

export const newNoFaults = (): StoreFaults => ({
  isRefusing: false,
  isSilent: false,
  lostAnswers: 0,
  lateAppends: 0,
});

const keyOf = (body: Buffer): { key: string; value: Buffer | null } => {
  const length = body[0] ?? 0;
  const value = body.subarray(1 + length);
  return {
    key: body.subarray(1, 1 + length).toString(),
    value: value.length > 0 ? value : null,
  };
};

/** A record of a keyed topic, as the store keeps it. */
export const keyedBody = (key: string, value: string): Buffer =>
  Buffer.concat([Buffer.from([key.length]), Buffer.from(key), Buffer.from(value)]);

const pause = (): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, POLL_MS);
  });

/**
 * A store in this process's memory: for tests, the demo, and the stand-in that serves it over HTTP.
 * One instance is the platform's; each host sees it through a view with faults of its own.
 */
const newMemoryStore = () => {
  const topics = new Map<string, Topic>();
  const late: (() => void)[] = [];

  const topicOf = (name: string): Topic => {
    const known = topics.get(name);
    if (known) return known;
    const created = { first: 0, records: [], producers: new Map() };
    topics.set(name, created);
    return created;
  };

  const endOf = ({ first, records }: Topic): number => first + records.length;

  const put = (topic: Topic, bodies: Buffer[]): number => {
    const offset = endOf(topic);
    bodies.forEach((body, index) => topic.records.push({ offset: offset + index, body }));
    return offset;
  };

  const append = (
    name: string,
    bodies: Buffer[],
    { name: producer, epoch, sequence }: Producer,
  ): Result<Appended, StoreFault> => {
    const topic = topicOf(name);
    const known = topic.producers.get(producer);
    if (known && epoch < known.epoch) return Err({ type: 'fenced' });
    const answers = known?.epoch === epoch ? known.answers : new Map<number, number>();
    const repeated = answers.get(sequence);
    if (repeated !== undefined) return Ok({ offset: repeated });
    const isNext = known?.epoch !== epoch || sequence === known.last + 1;
    if (!isNext) return Err({ type: 'sequence', expected: (known?.last ?? -1) + 1 });
    const offset = put(topic, bodies);
    answers.set(sequence, offset);
    answers.delete(sequence - REMEMBERED_APPENDS);
    topic.producers.set(producer, { epoch, last: sequence, answers });
    return Ok({ offset });
  };

  /** Records from an offset on, up to so many bytes; one at least where there is one. */
  const pageOf = ({ first, records }: Topic, from: number, mostBytes: number): StoredRecord[] => {
    const rest = records.slice(from - first);
    let bytes = 0;
    const cut = rest.findIndex(({ body }, index) => {
      bytes += body.length + FRAME_BYTES;
      return index > 0 && bytes > mostBytes;
    });
    return cut === -1 ? rest : rest.slice(0, cut);
  };

  const read = (name: string, from: number, mostKb = MOST_KB): Result<StorePage, StoreFault> => {
    const topic = topicOf(name);
    if (from < topic.first) return Err({ type: 'expired', first: topic.first });
    const records = pageOf(topic, from, mostKb * BYTES_IN_KB);
    return Ok({ end: endOf(topic), first: topic.first, records });
  };

  const newest = (name: string): KeyedSnapshot => {
    const topic = topicOf(name);
    const byKey = new Map<string, KeyedRecord>();
    topic.records.forEach(({ offset, body }) => {
      const { key, value } = keyOf(body);
      if (value === null) byKey.delete(key);
      else byKey.set(key, { key, offset, value });
    });
    return { end: endOf(topic), records: [...byKey.values()] };
  };

  const trim = (name: string, before: number): void => {
    const topic = topicOf(name);
    const kept = topic.records.filter(({ offset }) => offset >= before);
    topic.first = Math.max(topic.first, before);
    topic.records = kept;
  };

  /** The store as one host sees it. */
  const newView = (faults: StoreFaults = newNoFaults()): Store => {
    const fault = (): Result<never, StoreFault> | null => {
      if (faults.isSilent) return Err({ type: 'unknown', reason: 'silent' });
      return faults.isRefusing ? Err({ type: 'not-done', reason: 'refusing' }) : null;
    };

    class MemoryStore extends Store {
      async append(
        topic: string,
        records: Buffer[],
        producer: Producer,
      ): Promise<Result<Appended, StoreFault>> {
        const failed = fault();
        if (failed) return failed;
        if (faults.lateAppends > 0) {
          faults.lateAppends -= 1;
          late.push(() => append(topic, records, producer));
          return Err({ type: 'unknown', reason: 'late' });
        }
        const answer = append(topic, records, producer);
        if (faults.lostAnswers === 0) return answer;
        faults.lostAnswers -= 1;
        return Err({ type: 'unknown', reason: 'answer lost' });
      }

      async read(
        topic: string,
        from: number,
        waitMs: number,
        signal?: AbortSignal,
        mostKb?: number,
      ): Promise<Result<StorePage, StoreFault>> {
        const waitUntil = Date.now() + waitMs;
        for (;;) {
          const page = fault() ?? read(topic, from, mostKb);
          const isEmpty = page.ok && page.val.records.length === 0;
          if (!isEmpty || Date.now() >= waitUntil || signal?.aborted) return page;
          await pause();
        }
      }

      async trim(topic: string, before: number): Promise<Result<void, StoreFault>> {
        const failed = fault();
        if (!failed) trim(topic, before);
        return failed ?? Ok(undefined);
      }

      async newest(topic: string): Promise<Result<KeyedSnapshot, StoreFault>> {
        return fault() ?? Ok(newest(topic));
      }

      keyed({ offset, body }: StoredRecord): KeyedRecord {
        return { offset, ...keyOf(body) };
      }
    }
    return new MemoryStore();
  };

  return {
    newView,
    append,
    read,
    newest,
    /** Writes as the platform itself does. */
    put: (topic: string, bodies: Buffer[]): number => put(topicOf(topic), bodies),
    bodies: (topic: string): Buffer[] => topicOf(topic).records.map(({ body }) => body),
    /** Appends that got no answer land now. */
    landLate: (): void => late.splice(0).forEach((land) => land()),
    /** Drops the oldest records; of a keyed topic the newest of each key remains readable. */
    trim,
  };
};

export type MemoryStore = ReturnType<typeof newMemoryStore>;

export default newMemoryStore;
