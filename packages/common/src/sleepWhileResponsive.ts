import type Clock from './Clock.js';

/** A turn of the event loop that takes longer counts as this long, in milliseconds. */
const SLICE_MS = 10;

/**
 * Waits for others to answer for a time in which this process could have handled their answers.
 *
 * A process that is suspended, or short of processor time, finds timers expired and answers unread
 * when it runs again. Counting only some milliseconds for each turn of the event loop keeps it from
 * taking its own delay for that of others.
 * @returns at once when the signal aborts
 */
const sleepWhileResponsive = async (
  clock: Clock,
  durationMs: number,
  signal: AbortSignal,
): Promise<void> => {
  let remainingMs = durationMs;
  while (remainingMs > 0 && !signal.aborted) {
    const sliceMs = Math.min(SLICE_MS, remainingMs);
    await clock.sleepUntil(clock.now() + sliceMs, signal);
    remainingMs -= sliceMs;
  }
};

export default sleepWhileResponsive;
