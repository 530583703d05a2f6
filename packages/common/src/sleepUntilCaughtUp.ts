import type Clock from './Clock.js';
import sleepWhileResponsive from './sleepWhileResponsive.js';

/** A sleep that ends later than this shows that the process could not run. */
const MAX_LATENESS_MS = 20;
/** Time to read what has arrived while the process could not run. */
const CATCH_UP_MS = 50;

/**
 * Waits for others until a deadline. A process that could not run as it passed finds the timer
 * expired and their answers unread, so it reads what has arrived before it takes them for silent.
 * @returns at once when the signal aborts
 */
const sleepUntilCaughtUp = async (
  clock: Clock,
  deadline: number,
  signal: AbortSignal,
): Promise<void> => {
  await clock.sleepUntil(deadline, signal);
  if (clock.now() > deadline + MAX_LATENESS_MS) {
    await sleepWhileResponsive(clock, CATCH_UP_MS, signal);
  }
};

export default sleepUntilCaughtUp;
