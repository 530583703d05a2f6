import type Clock from '@cyclamengate/common/Clock';
import type { EventLog } from '@cyclamengate/common/newEventLog';
import type Store from './Store.js';
import type { Producer } from './Store.js';
import type { StoreFault } from './storeFault.js';

/** What became of a write: `unknown` may have landed or may still land. */
export type WriteOutcome = 'written' | 'not-written' | 'unknown';

/** A write's outcome, and the offset of its first record where the store named it. */
export interface Placed {
  outcome: WriteOutcome;
  offset: number | null;
}

interface Write {
  records: Buffer[];
  deadline: number;
  settle: (placed: Placed) => void;
}

/** Most bytes of one append, below the store's limit of 2 MiB a call. */
const MOST_BYTES = 1_500_000;
/** First pause after a refusal; doubles up to the longest. The store refuses for seconds at most. */
const FIRST_PAUSE_MS = 25;
const LONGEST_PAUSE_MS = 250;

export interface StoreWriterOptions {
  clock: Clock;
  log: EventLog;
  store: Store;
  topic: string;
  /** Unique to this run of the process. */
  producer: string;
}

const sizeOf = ({ records }: Write): number =>
  records.reduce((sum, record) => sum + record.length + 4, 0);

/**
 * Writes records to one topic, those that gather meanwhile in one append.
 *
 * The store's answer to an append can be lost, and the append can land seconds later. Sent again
 * under a new name it would stand twice, and a caller could be told "not kept" of what is kept. So
 * each append has a sequence number under which the store recognises it, one is under way at a
 * time, and one without an answer is repeated unchanged until it has one. Its writers learn
 * `unknown` when their deadline passes first.
 */
const newStoreWriter = (options: StoreWriterOptions) => {
  const { clock, log, store, topic, producer } = options;
  let waiting: Write[] = [];
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
    const count = waiting.findIndex((write, index) => {
      bytes += sizeOf(write);
      return index > 0 && bytes > MOST_BYTES;
    });
    return waiting.splice(0, count === -1 ? waiting.length : count);
  };

  /** A call that took longer than its pause is followed at once: it was silent, not refused. */
  const pauseAfter = (startedAt: number, failures: number): Promise<void> =>
    clock.sleepUntil(
      startedAt + Math.min(LONGEST_PAUSE_MS, FIRST_PAUSE_MS * 2 ** Math.min(failures, 4)),
    );

  /** Whether the fault shows that the append has landed before. */
  const hasLanded = (fault: StoreFault): boolean =>
    fault.type === 'sequence' && fault.expected > sequence;

  /** The store no longer knows this producer's numbers: a new epoch starts a new series. */
  const renumber = (fault: StoreFault): void => {
    if (fault.type !== 'sequence' && fault.type !== 'fenced') return;
    epoch += 1;
    log.warn('store.renumbered', { topic, sequence, epoch, reason: fault.type });
  };

  /** @param offset of the group's first record; null when only the landing itself is known */
  const settleWritten = (group: Write[], live: Write[], offset: number | null): void => {
    let next = offset;
    group.forEach((write) => {
      if (live.includes(write)) write.settle({ outcome: 'written', offset: next });
      if (next !== null) next += write.records.length;
    });
  };

  const send = async (group: Write[]): Promise<void> => {
    let live = group;
    // One that may have landed is repeated as it was sent: the store answers for what came first.
    let sent = group;
    let isAmbiguous = false;
    let failures = 0;
    const name = (): Producer => ({ name: producer, epoch, sequence });
    while (live.length > 0 || isAmbiguous) {
      if (!isAmbiguous) sent = live;
      const startedAt = clock.now();
      const answer = await store.append(
        topic,
        sent.flatMap(({ records }) => records),
        name(),
      );
      if (answer.ok || hasLanded(answer.val)) {
        sequence += 1;
        settleWritten(sent, live, answer.ok ? answer.val.offset : null);
        if (failures > 0) log.info('store.append-back', { topic, failures });
        return;
      }
      if (failures === 0) log.warn('store.append-failed', { topic, fault: answer.val });
      failures += 1;
      isAmbiguous = isAmbiguous || answer.val.type === 'unknown';
      renumber(answer.val);
      live = settleExpired(live, isAmbiguous ? 'unknown' : 'not-written');
      if (live.length > 0 || isAmbiguous) await pauseAfter(startedAt, failures);
      waiting = settleExpired(waiting, 'not-written');
    }
  };

  const run = async (): Promise<void> => {
    if (isRunning) return;
    isRunning = true;
    while (waiting.length > 0) {
      waiting = settleExpired(waiting, 'not-written');
      await send(takeGroup());
    }
    isRunning = false;
  };

  /**
   * Writes records that stand together.
   * @param deadline on the monotonic clock, in milliseconds
   */
  const place = (records: Buffer[], deadline: number): Promise<Placed> =>
    new Promise((settle) => {
      waiting.push({ records, deadline, settle });
      run();
    });

  return {
    place,
    write: async (records: Buffer[], deadline: number): Promise<WriteOutcome> =>
      (await place(records, deadline)).outcome,
  };
};

export type StoreWriter = ReturnType<typeof newStoreWriter>;

export default newStoreWriter;
