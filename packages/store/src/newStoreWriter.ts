import type Clock from '@cyclamengate/common/Clock';
import describeError from '@cyclamengate/common/describeError';
import type { EventLog } from '@cyclamengate/common/newEventLog';
import type Store from './Store.js';
import type { Producer } from './Store.js';
import type { StoreFault } from './storeFault.js';

/** The outcome of a write: after `unknown` the records may have been appended, or may be later. */
export type WriteOutcome = 'written' | 'not-written' | 'unknown';

/** The outcome of a write, and the offset of its first record if the store returned it. */
export interface WriteResult {
  outcome: WriteOutcome;
  offset: number | null;
}

interface Write {
  records: Buffer[];
  deadline: number;
  settle: (result: WriteResult) => void;
}

/** Maximum size of one append; the store's limit is 2 MiB per call. */
const MAX_APPEND_BYTES = 1_500_000;
/** Delay after the first refusal; doubles up to the maximum. Refusals last seconds at most. */
const INITIAL_BACKOFF_MS = 25;
const MAX_BACKOFF_MS = 250;

export interface StoreWriterOptions {
  clock: Clock;
  log: EventLog;
  store: Store;
  topic: string;
  /** Unique to this run of the process. */
  producer: string;
}

const LENGTH_BYTES = 4;

const encodedBytes = ({ records }: Pick<Write, 'records'>): number =>
  records.reduce((sum, record) => sum + record.length + LENGTH_BYTES, 0);

/** Splits records into parts of which each fits into one append. */
const splitRecords = (records: Buffer[]): Buffer[][] => {
  const parts: Buffer[][] = [];
  let bytes = Number.POSITIVE_INFINITY;
  records.forEach((record) => {
    bytes += record.length + LENGTH_BYTES;
    if (bytes > MAX_APPEND_BYTES) {
      parts.push([]);
      bytes = record.length + LENGTH_BYTES;
    }
    parts.at(-1)?.push(record);
  });
  return parts;
};

/** The outcome of a write in several appends: its records are of use only if all were written. */
const joinOutcomes = (outcomes: WriteOutcome[]): WriteOutcome => {
  if (outcomes.every((outcome) => outcome === 'written')) return 'written';
  return outcomes.includes('not-written') ? 'not-written' : 'unknown';
};

/**
 * Writes records to one topic; records that are queued during an append share the next one.
 *
 * The store's answer to an append can be lost, and the append can be executed seconds later.
 * Retrying it as a new append could store the records twice, or a caller could be told that stored
 * records were not written. So each append has a sequence number by which the store recognises a
 * retry, only one append is in flight at a time, and an unanswered append is retried unchanged
 * until it is answered. Writes whose deadline passes before that settle as `unknown`. An append that
 * the store refuses for good is given up at once, or nothing else would ever be written.
 */
const newStoreWriter = (options: StoreWriterOptions) => {
  const { clock, log, store, topic, producer } = options;
  let queue: Write[] = [];
  let sequence = 0;
  let epoch = 1;
  let isRunning = false;

  const settleExpired = (writes: Write[], outcome: WriteOutcome): Write[] =>
    writes.filter((write) => {
      if (write.deadline > clock.now()) return true;
      write.settle({ outcome, offset: null });
      return false;
    });

  const takeGroup = (): Write[] => {
    let bytes = 0;
    const count = queue.findIndex((write, index) => {
      bytes += encodedBytes(write);
      return index > 0 && bytes > MAX_APPEND_BYTES;
    });
    return queue.splice(0, count === -1 ? queue.length : count);
  };

  /** The delay counts from the start of the call, so a call that timed out is retried at once. */
  const backOff = (startedAt: number, failures: number): Promise<void> =>
    clock.sleepUntil(
      startedAt + Math.min(MAX_BACKOFF_MS, INITIAL_BACKOFF_MS * 2 ** Math.min(failures, 4)),
    );

  /** Whether the fault shows that an earlier attempt was appended. */
  const isAlreadyAppended = (fault: StoreFault): boolean =>
    fault.type === 'sequence' && fault.expected > sequence;

  /** Starts a new epoch if the store no longer accepts this producer's sequence numbers. */
  const startNewEpoch = (fault: StoreFault): void => {
    if (fault.type !== 'sequence' && fault.type !== 'fenced') return;
    epoch += 1;
    log.warn('store.renumbered', { topic, sequence, epoch, reason: fault.type });
  };

  /** @param offset of the group's first record; null if the append succeeded without an answer */
  const settleWritten = (group: Write[], pending: Write[], offset: number | null): void => {
    let next = offset;
    group.forEach((write) => {
      if (pending.includes(write)) write.settle({ outcome: 'written', offset: next });
      if (next !== null) next += write.records.length;
    });
  };

  const send = async (group: Write[]): Promise<void> => {
    let pending = group;
    // If an attempt may have been appended, the same records are sent again: the store answers a
    // retry with the offset of the records that it received first.
    let sent = group;
    let isAmbiguous = false;
    let failures = 0;
    const currentProducer = (): Producer => ({ name: producer, epoch, sequence });
    while (pending.length > 0 || isAmbiguous) {
      if (!isAmbiguous) sent = pending;
      const startedAt = clock.now();
      const answer = await store.append(
        topic,
        sent.flatMap(({ records }) => records),
        currentProducer(),
      );
      if (answer.ok || isAlreadyAppended(answer.val)) {
        sequence += 1;
        settleWritten(sent, pending, answer.ok ? answer.val.offset : null);
        if (failures > 0) log.info('store.append-back', { topic, failures });
        return;
      }
      if (failures === 0) log.warn('store.append-failed', { topic, fault: answer.val });
      failures += 1;
      if (answer.val.type === 'rejected') {
        log.error('store.append-rejected', { topic, fault: answer.val });
        pending.forEach((write) => write.settle({ outcome: 'not-written', offset: null }));
        return;
      }
      isAmbiguous = isAmbiguous || answer.val.type === 'unknown';
      startNewEpoch(answer.val);
      pending = settleExpired(pending, isAmbiguous ? 'unknown' : 'not-written');
      if (pending.length > 0 || isAmbiguous) await backOff(startedAt, failures);
      queue = settleExpired(queue, 'not-written');
    }
  };

  /** An error costs the writes of its own group; the ones after it would wait forever otherwise. */
  const trySend = async (group: Write[]): Promise<void> => {
    try {
      await send(group);
    } catch (error) {
      // The store may have the records under this number, and would take others for the same ones.
      epoch += 1;
      log.error('store.append-broken', { topic, ...describeError(error) });
      group.forEach(({ settle }) => settle({ outcome: 'unknown', offset: null }));
    }
  };

  const run = async (): Promise<void> => {
    if (isRunning) return;
    isRunning = true;
    while (queue.length > 0) {
      queue = settleExpired(queue, 'not-written');
      await trySend(takeGroup());
    }
    isRunning = false;
  };

  const enqueue = (records: Buffer[], deadline: number): Promise<WriteResult> =>
    new Promise((settle) => {
      queue.push({ records, deadline, settle });
      void run();
    });

  /**
   * Writes records to consecutive offsets; those that are too many for one append, in several, whose
   * offsets need not be consecutive and are not returned.
   * @param deadline on the monotonic clock, in milliseconds
   */
  const writeWithOffset = async (records: Buffer[], deadline: number): Promise<WriteResult> => {
    const parts = splitRecords(records);
    const [first] = parts;
    if (first && parts.length === 1) return enqueue(first, deadline);
    const results = await Promise.all(parts.map((part) => enqueue(part, deadline)));
    return { outcome: joinOutcomes(results.map(({ outcome }) => outcome)), offset: null };
  };

  return {
    writeWithOffset,
    write: async (records: Buffer[], deadline: number): Promise<WriteOutcome> =>
      (await writeWithOffset(records, deadline)).outcome,
  };
};

export type StoreWriter = ReturnType<typeof newStoreWriter>;

export default newStoreWriter;
