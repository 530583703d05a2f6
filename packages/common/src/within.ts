import type Clock from './Clock.js';

/**
 * What a promise settles with by a deadline on the clock's monotonic time; null where it does not.
 * The work itself goes on.
 */
const within = async <T>(
  clock: Clock,
  promise: Promise<T>,
  deadline: number,
): Promise<T | null> => {
  const settled = new AbortController();
  const timer = clock.sleepUntil(deadline, settled.signal).then(() => null);
  const first = await Promise.race([promise, timer]);
  settled.abort('settled');
  return first;
};

export default within;
