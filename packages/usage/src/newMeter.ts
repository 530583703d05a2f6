import type Clock from '@cyclamengate/common/Clock';
import addUsage from '@cyclamengate/coordination/addUsage';
import type { Follower } from '@cyclamengate/coordination/newFollower';
import type { LogWriter } from '@cyclamengate/coordination/newLogWriter';
import type { UsageDelta, WindowFigures } from '@cyclamengate/coordination/usageRecords';
import type { UsageFigure } from '@cyclamengate/platform/usageReport';

/** Interval of sealing usage and copying it to peers; bounds the usage lost when a host fails. */
export const SEAL_INTERVAL_MS = 500;
/** Interval of writing sealed deltas to the log, in one append. */
const WRITE_INTERVAL_MS = 2_000;
const WRITE_TIMEOUT_MS = 10_000;

export interface MeterOptions {
  clock: Clock;
  follower: Follower;
  writer: LogWriter;
  /** Incarnation of this process; a restarted process counts under another name. */
  host: string;
  windowMs: number;
  /** Copies the deltas that are not in the log yet to peers, in case this host fails. */
  copy: (deltas: UsageDelta[]) => Promise<void>;
}

/** Counts the usage of customers on this host until it has been written to the log. */
const newMeter = (options: MeterOptions) => {
  const { clock, follower, writer, host, windowMs, copy } = options;
  let openWindows: WindowFigures = {};
  let sequence = 0;
  let isWriting = false;
  const sealed = new Map<number, UsageDelta>();

  follower.onFolded(({ record }) => {
    if (record.type !== 'usage-delta' || record.host !== host) return;
    // A duplicate is rejected by its sequence number, which proves that the delta was counted
    // before.
    sealed.forEach((_, sealedSequence) => {
      if (sealedSequence <= record.sequence) sealed.delete(sealedSequence);
    });
  });

  const add = (customer: string, figure: UsageFigure): void => {
    const window = Math.floor(clock.wallTime() / windowMs) * windowMs;
    const figures = openWindows[window] ?? {};
    addUsage(figures, { [customer]: figure });
    openWindows[window] = figures;
  };

  /** Closes the current delta, whose figures are immutable from then on. */
  const seal = (): void => {
    if (Object.keys(openWindows).length === 0) return;
    sealed.set(sequence, { type: 'usage-delta', host, sequence, windows: openWindows });
    sequence += 1;
    openWindows = {};
  };

  const writeSealed = async (deadline: number): Promise<void> => {
    const writes = [...sealed.values()].map((delta) => writer.write(delta, deadline));
    await Promise.all(writes);
  };

  const writeUnlessWriting = (): void => {
    if (isWriting || sealed.size === 0) return;
    isWriting = true;
    const finish = (): void => {
      isWriting = false;
    };
    writeSealed(clock.now() + WRITE_TIMEOUT_MS).then(finish, finish);
  };

  const run = async (signal: AbortSignal): Promise<void> => {
    let writeAt = clock.now() + WRITE_INTERVAL_MS;
    while (!signal.aborted) {
      const nextSealAt = clock.now() + SEAL_INTERVAL_MS;
      seal();
      await copy([...sealed.values()]);
      if (clock.now() >= writeAt) {
        writeAt = clock.now() + WRITE_INTERVAL_MS;
        writeUnlessWriting();
      }
      await clock.sleepUntil(nextSealAt, signal);
    }
  };

  /** Writes all remaining deltas, for a graceful shutdown. */
  const flush = async (): Promise<void> => {
    seal();
    await writeSealed(clock.now() + WRITE_TIMEOUT_MS);
  };

  return { add, run, flush, pending: (): number => sealed.size };
};

export type Meter = ReturnType<typeof newMeter>;

export default newMeter;
