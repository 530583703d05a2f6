import type Clock from './Clock.js';
import sleepUntilCaughtUp from './sleepUntilCaughtUp.js';

/**
 * Waits for a promise until a deadline on the clock's monotonic time. Returns null at the deadline,
 * which does not count a delay of this process; the work behind the promise is not cancelled.
 */
const withDeadline = async <T>(
  clock: Clock,
  promise: Promise<T>,
  deadline: number,
): Promise<T | null> => {
  const timerController = new AbortController();
  const timeout = sleepUntilCaughtUp(clock, deadline, timerController.signal).then(() => null);
  const first = await Promise.race([promise, timeout]);
  timerController.abort('settled');
  return first;
};

export default withDeadline;
