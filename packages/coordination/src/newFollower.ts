import type Clock from '@cyclamengate/common/Clock';
import type { LogRecord } from '@cyclamengate/platform/logRecord';
import findCheckpoint from './findCheckpoint.js';
import newFold from './newFold.js';
import type { Folded } from './newFold.js';
import newRecordRing from './newRecordRing.js';
import type { SourcePage } from './RecordSource.js';
import type { SystemState } from './systemState.js';

type FoldedListener = (folded: Folded) => void;

/**
 * A host's replica of the shared state, which is advanced by pages of records from any source. The
 * offset never decreases: older records are ignored, and records after a gap are buffered.
 */
const newFollower = (clock: Clock) => {
  const fold = newFold();
  const ring = newRecordRing();
  const foldedListeners = new Set<FoldedListener>();
  const stateReplacedListeners = new Set<() => void>();
  const waiters = new Set<() => void>();
  /** Records after a gap, buffered until a checkpoint covers the gap. */
  let pending: LogRecord[] = [];
  let currentAt = -Infinity;
  let skipped = 0;
  let logFirst = 0;

  const nextOffset = (): number => (pending.at(-1)?.offset ?? fold.state().offset) + 1;

  const wake = (): void => {
    const woken = [...waiters];
    waiters.clear();
    woken.forEach((resume) => resume());
  };

  const applyOne = (record: LogRecord): void => {
    const folded = fold.apply(record);
    ring.push(record);
    if (!folded) {
      skipped += 1;
      return;
    }
    foldedListeners.forEach((listener) => listener(folded));
  };

  const load = (state: SystemState): void => {
    if (state.offset <= fold.state().offset) return;
    fold.load(state);
    ring.clear();
    stateReplacedListeners.forEach((listener) => listener());
    wake();
  };

  const applyContiguous = (records: LogRecord[]): void =>
    records.forEach((record) => {
      if (record.offset === fold.state().offset + 1) applyOne(record);
    });

  /** Applies the buffered records, after the gap before them has been covered. */
  const applyPending = (): void => {
    const buffered = pending;
    pending = [];
    applyContiguous(buffered);
  };

  /**
   * The log retains records for a limited time, so the next record of a new host, or of one that
   * was suspended for longer, may no longer exist. Folding a later record next would make its state
   * diverge from all others. So it waits for a checkpoint that covers all offsets before its
   * buffered records.
   */
  const bridgeGap = (records: LogRecord[]): void => {
    const fresh = records.filter(({ offset }) => offset >= nextOffset());
    const isContiguous = fresh[0]?.offset === nextOffset();
    pending = isContiguous ? [...pending, ...fresh] : fresh;
    const oldest = pending[0]?.offset ?? 0;
    const state = pending
      .map(findCheckpoint)
      .findLast((checkpoint) => checkpoint !== null && checkpoint.offset >= oldest - 1);
    if (!state) return;
    load(state);
    pending = pending.filter(({ offset }) => offset > state.offset);
    applyPending();
  };

  const ingest = ({ records, logFirst: pageLogFirst, ageMs }: SourcePage): void => {
    logFirst = Math.max(logFirst, pageLogFirst);
    currentAt = Math.max(currentAt, clock.now() - ageMs);
    const fresh = records.filter(({ offset }) => offset > fold.state().offset);
    const [next] = fresh;
    if (!next) return;
    if (next.offset === fold.state().offset + 1) {
      applyContiguous(fresh);
      if (pending.some(({ offset }) => offset === fold.state().offset + 1)) applyPending();
    } else {
      bridgeGap(fresh);
    }
    wake();
  };

  /** Resolves when the state's offset exceeds the given one, or at the deadline. */
  const waitPast = async (offset: number, deadline: number): Promise<void> => {
    if (fold.state().offset > offset) return;
    const timer = new AbortController();
    let resume = (): void => undefined;
    const advanced = new Promise<void>((resolve) => {
      resume = resolve;
    });
    waiters.add(resume);
    await Promise.race([advanced, clock.sleepUntil(deadline, timer.signal)]);
    waiters.delete(resume);
    timer.abort();
  };

  return {
    ingest,
    load: (state: SystemState): void => {
      load(state);
      if (pending.some(({ offset }) => offset <= fold.state().offset + 1)) applyPending();
    },
    waitPast,
    ring,
    state: fold.state,
    /** The offset to read from next. */
    next: nextOffset,
    isWaitingForCheckpoint: (): boolean => pending.length > 0,
    /** When this state was last known to match the end of the log, on the monotonic clock. */
    currentAt: (): number => currentAt,
    /** The oldest offset that the log retains, as far as this host knows. */
    logFirst: (): number => logFirst,
    /** Number of skipped records, which have a newer or an unknown format. */
    skipped: (): number => skipped,
    onFolded: (listener: FoldedListener): void => {
      foldedListeners.add(listener);
    },
    /** Called when a whole state was loaded, for which `onFolded` is not called. */
    onStateReplaced: (listener: () => void): void => {
      stateReplacedListeners.add(listener);
    },
  };
};

export type Follower = ReturnType<typeof newFollower>;

export default newFollower;
