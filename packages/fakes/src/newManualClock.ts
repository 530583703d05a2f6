import Clock from '@cyclamengate/common/Clock';

interface PendingSleep {
  deadline: number;
  resolve: () => void;
}

/** Turns of the event loop in which resumed tasks can run before time advances again. */
const TURNS_PER_SETTLE = 20;

const waitForNextTurn = (): Promise<void> =>
  new Promise((resolve) => {
    setImmediate(resolve);
  });

/** Lets tasks that are ready run, without advancing time. */
export const settle = async (turns = TURNS_PER_SETTLE): Promise<void> => {
  for (let count = 0; count < turns; count += 1) await waitForNextTurn();
};

export interface ManualClock extends Clock {
  /** Advances time, resolving pending sleeps in the order of their deadlines. */
  advance: (byMs: number) => Promise<void>;
  /** Advances time as if the process were suspended: sleeps are resolved only by the next `advance`. */
  jump: (byMs: number) => void;
  /** Steps only the wall clock, as an administrator or a time service does. */
  stepWallClock: (byMs: number) => void;
}

/** A clock whose time advances only when a test advances it. */
export const newManualClock = (startWall = 1_800_000_000_000): ManualClock => {
  let time = 1_000;
  let wallOffset = startWall - time;
  const pendingSleeps = new Set<PendingSleep>();

  const resolveDueSleeps = (): void =>
    pendingSleeps.forEach((pendingSleep) => {
      if (pendingSleep.deadline > time) return;
      pendingSleeps.delete(pendingSleep);
      pendingSleep.resolve();
    });

  class FakeClock extends Clock implements ManualClock {
    now(): number {
      return time;
    }

    wallTime(): number {
      return time + wallOffset;
    }

    sleepUntil(deadline: number, signal?: AbortSignal): Promise<void> {
      return new Promise((resolve) => {
        if (deadline <= time || signal?.aborted) {
          resolve();
          return;
        }
        const resolved = new AbortController();
        const pendingSleep = {
          deadline,
          resolve: (): void => {
            resolved.abort();
            resolve();
          },
        };
        const onAbort = (): void => {
          pendingSleeps.delete(pendingSleep);
          resolve();
        };
        pendingSleeps.add(pendingSleep);
        signal?.addEventListener('abort', onAbort, { once: true, signal: resolved.signal });
      });
    }

    async advance(byMs: number): Promise<void> {
      const end = time + byMs;
      await settle();
      while (time < end) {
        const next = Math.min(end, ...[...pendingSleeps].map(({ deadline }) => deadline));
        time = Math.max(time, next);
        resolveDueSleeps();
        await settle();
      }
    }

    jump(byMs: number): void {
      time += byMs;
    }

    stepWallClock(byMs: number): void {
      wallOffset += byMs;
    }
  }
  return new FakeClock();
};
