import Clock from '@cyclamengate/common/Clock';

interface Sleeper {
  deadline: number;
  resolve: () => void;
}

/** Rounds of the event loop that let woken tasks run on before time moves again. */
const TURNS_PER_MOVE = 20;

const turn = (): Promise<void> =>
  new Promise((resolve) => {
    setImmediate(resolve);
  });

/** Lets everything that is ready run, without moving time. */
export const settle = async (turns = TURNS_PER_MOVE): Promise<void> => {
  for (let count = 0; count < turns; count += 1) await turn();
};

export interface ManualClock extends Clock {
  /** Moves time on, waking sleepers one deadline after the other. */
  advance: (byMs: number) => Promise<void>;
  /** Moves time on while this process stands still: nothing wakes until the next advance. */
  jump: (byMs: number) => void;
  /** Steps the wall clock alone, as an administrator or a time service does. */
  stepWall: (byMs: number) => void;
}

/** A clock that moves only when a test moves it. */
export const newManualClock = (startWall = 1_800_000_000_000): ManualClock => {
  let time = 1_000;
  let wallOffset = startWall - time;
  const sleepers = new Set<Sleeper>();

  const wakeDue = (): void =>
    sleepers.forEach((sleeper) => {
      if (sleeper.deadline > time) return;
      sleepers.delete(sleeper);
      sleeper.resolve();
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
        const woken = new AbortController();
        const sleeper = {
          deadline,
          resolve: (): void => {
            woken.abort();
            resolve();
          },
        };
        const onAbort = (): void => {
          sleepers.delete(sleeper);
          resolve();
        };
        sleepers.add(sleeper);
        signal?.addEventListener('abort', onAbort, { once: true, signal: woken.signal });
      });
    }

    async advance(byMs: number): Promise<void> {
      const end = time + byMs;
      await settle();
      while (time < end) {
        const next = Math.min(end, ...[...sleepers].map(({ deadline }) => deadline));
        time = Math.max(time, next);
        wakeDue();
        await settle();
      }
    }

    jump(byMs: number): void {
      time += byMs;
    }

    stepWall(byMs: number): void {
      wallOffset += byMs;
    }
  }
  return new FakeClock();
};
