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
 * A host's copy of the shared state, moved forward by pages of records from whichever source.
 * Offsets only grow: a page with older records changes nothing, a page with a hole is kept aside.
 */
const newFollower = (clock: Clock) => {
  const fold = newFold();
  const ring = newRecordRing();
  const foldedListeners = new Set<FoldedListener>();
  const jumpListeners = new Set<() => void>();
  const waiting = new Set<() => void>();
  /** Records after a hole, until a checkpoint that spans the hole turns up. */
  let aside: LogRecord[] = [];
  let currentAt = -Infinity;
  let skipped = 0;
  let logFirst = 0;

  const nextOffset = (): number => (aside.at(-1)?.offset ?? fold.state().offset) + 1;

  const wake = (): void => {
    const woken = [...waiting];
    waiting.clear();
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
    jumpListeners.forEach((listener) => listener());
    wake();
  };

  const applyContiguous = (records: LogRecord[]): void =>
    records.forEach((record) => {
      if (record.offset === fold.state().offset + 1) applyOne(record);
    });

  /** Applies what was kept aside, now that the hole before it is closed. */
  const applyAside = (): void => {
    const later = aside;
    aside = [];
    applyContiguous(later);
  };

  /**
   * The log keeps records for a limited time. A new host, or one paused for longer than that, finds
   * its next record gone; folding on from a later one would give it a state of its own. So it waits
   * for a checkpoint that covers everything before the records it has.
   */
  const bridge = (records: LogRecord[]): void => {
    const fresh = records.filter(({ offset }) => offset >= nextOffset());
    const isContiguous = fresh[0]?.offset === nextOffset();
    aside = isContiguous ? [...aside, ...fresh] : fresh;
    const oldest = aside[0]?.offset ?? 0;
    const state = aside
      .map(findCheckpoint)
      .findLast((found) => found !== null && found.offset >= oldest - 1);
    if (!state) return;
    load(state);
    aside = aside.filter(({ offset }) => offset > state.offset);
    applyAside();
  };

  const ingest = ({ records, logFirst: keptFrom, ageMs }: SourcePage): void => {
    logFirst = Math.max(logFirst, keptFrom);
    currentAt = Math.max(currentAt, clock.now() - ageMs);
    const fresh = records.filter(({ offset }) => offset > fold.state().offset);
    const [next] = fresh;
    if (!next) return;
    if (next.offset === fold.state().offset + 1) {
      applyContiguous(fresh);
      if (aside.some(({ offset }) => offset === fold.state().offset + 1)) applyAside();
    } else {
      bridge(fresh);
    }
    wake();
  };

  /** Resolves when the state has moved past an offset, or at the deadline. */
  const waitPast = async (offset: number, deadline: number): Promise<void> => {
    if (fold.state().offset > offset) return;
    const giveUp = new AbortController();
    let resume = (): void => undefined;
    const moved = new Promise<void>((resolve) => {
      resume = resolve;
    });
    waiting.add(resume);
    await Promise.race([moved, clock.sleepUntil(deadline, giveUp.signal)]);
    waiting.delete(resume);
    giveUp.abort();
  };

  return {
    ingest,
    load: (state: SystemState): void => {
      load(state);
      if (aside.some(({ offset }) => offset <= fold.state().offset + 1)) applyAside();
    },
    waitPast,
    ring,
    state: fold.state,
    /** The offset to read from next. */
    next: nextOffset,
    isBridging: (): boolean => aside.length > 0,
    /** When, on the monotonic clock, this state was last known to be the log's newest. */
    currentAt: (): number => currentAt,
    /** The oldest offset that the log keeps, as far as this host knows. */
    logFirst: (): number => logFirst,
    /** Records of a newer or foreign format that were passed over. */
    skipped: (): number => skipped,
    onFolded: (listener: FoldedListener): void => {
      foldedListeners.add(listener);
    },
    /** Called when the state was taken over whole, so that single records were not seen. */
    onJump: (listener: () => void): void => {
      jumpListeners.add(listener);
    },
  };
};

export type Follower = ReturnType<typeof newFollower>;

export default newFollower;
