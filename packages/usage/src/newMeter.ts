import type Clock from '@cyclamengate/common/Clock';
import addUsage from '@cyclamengate/coordination/addUsage';
import type { Follower } from '@cyclamengate/coordination/newFollower';
import type { LogWriter } from '@cyclamengate/coordination/newLogWriter';
import type { UsageDelta, WindowFigures } from '@cyclamengate/coordination/usageRecords';
import type { UsageFigure } from '@cyclamengate/platform/usageReport';

/** How long usage may stand in this host's memory alone: the bound on what a dead host loses. */
export const SEAL_EVERY_MS = 500;
/** How often sealed deltas go to the log, in one append. */
const WRITE_EVERY_MS = 2_000;
const WRITE_TIMEOUT_MS = 10_000;

export interface MeterOptions {
  clock: Clock;
  follower: Follower;
  writer: LogWriter;
  /** This run of the process; a restarted one counts under another name. */
  host: string;
  windowMs: number;
  /** Gives the deltas that are not in the log yet to peers that would outlive this host. */
  copy: (deltas: UsageDelta[]) => Promise<void>;
}

/** Counts what customers used on this host, until the log has it. */
const newMeter = (options: MeterOptions) => {
  const { clock, follower, writer, host, windowMs, copy } = options;
  let open: WindowFigures = {};
  let sequence = 0;
  let isWriting = false;
  const sealed = new Map<number, UsageDelta>();

  follower.onFolded(({ record }) => {
    if (record.type !== 'usage-delta' || record.host !== host) return;
    // A repetition is refused by its sequence number, which proves that the first one was counted.
    sealed.forEach((_, counted) => {
      if (counted <= record.sequence) sealed.delete(counted);
    });
  });

  const add = (customer: string, figure: UsageFigure): void => {
    const window = Math.floor(clock.wallTime() / windowMs) * windowMs;
    const figures = open[window] ?? {};
    addUsage(figures, { [customer]: figure });
    open[window] = figures;
  };

  /** Closes the running delta: from here on its figures never change. */
  const seal = (): void => {
    if (Object.keys(open).length === 0) return;
    sealed.set(sequence, { type: 'usage-delta', host, sequence, windows: open });
    sequence += 1;
    open = {};
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
    let writeAt = clock.now() + WRITE_EVERY_MS;
    while (!signal.aborted) {
      const nextSeal = clock.now() + SEAL_EVERY_MS;
      seal();
      await copy([...sealed.values()]);
      if (clock.now() >= writeAt) {
        writeAt = clock.now() + WRITE_EVERY_MS;
        writeUnlessWriting();
      }
      await clock.sleepUntil(nextSeal, signal);
    }
  };

  /** Writes everything that is left, for a graceful shutdown. */
  const flush = async (): Promise<void> => {
    seal();
    await writeSealed(clock.now() + WRITE_TIMEOUT_MS);
  };

  return { add, run, flush, pending: (): number => sealed.size };
};

export type Meter = ReturnType<typeof newMeter>;

export default newMeter;
