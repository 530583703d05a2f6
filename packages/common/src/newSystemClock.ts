import Clock from './Clock.js';

/** setTimeout takes a signed 32-bit delay; longer sleeps are split into several timers. */
const MAX_TIMER_DELAY_MS = 2_000_000_000;
/** Timers count whole milliseconds, so they may fire this much early. */
const MAX_TIMER_LEAD_MS = 1;

const sleepOnce = (delayMs: number, signal?: AbortSignal): Promise<void> =>
  new Promise((resolve) => {
    let timer: NodeJS.Timeout | null = null;
    const finish = (): void => {
      if (timer) clearTimeout(timer);
      signal?.removeEventListener('abort', finish);
      resolve();
    };
    if (signal?.aborted) {
      resolve();
      return;
    }
    timer = setTimeout(finish, delayMs);
    signal?.addEventListener('abort', finish);
  });

/** The clock of this machine. */
const newSystemClock = (): Clock => {
  class SystemClock extends Clock {
    now(): number {
      return performance.now();
    }

    wallTime(): number {
      return Date.now();
    }

    async sleepUntil(deadline: number, signal?: AbortSignal): Promise<void> {
      while (!signal?.aborted) {
        const remainingMs = deadline - this.now();
        if (remainingMs <= 0) return;
        const delayMs = Math.ceil(remainingMs) + MAX_TIMER_LEAD_MS;
        await sleepOnce(Math.min(delayMs, MAX_TIMER_DELAY_MS), signal);
      }
    }
  }
  return new SystemClock();
};

export default newSystemClock;
