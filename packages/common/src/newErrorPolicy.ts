/**
 * What an error belongs to that no code has handled.
 *
 * - `call`: a rejected promise. The long-running tasks handle theirs, so it belongs to one call.
 * - `connection`: an exception in an event of one connection.
 * - `task`: an exception of a long-running task, which runs no more.
 * - `unknown`: any other exception, such as that of a timer.
 */
export type ErrorOrigin = 'call' | 'connection' | 'task' | 'unknown';

/** What the process does about an error: `drain` ends it in order, `exit` at once. */
export type Reaction = 'continue' | 'drain' | 'exit';

export interface ErrorDecision {
  reaction: Reaction;
  /** Errors in a row are counted, and only some of them reported. */
  isReported: boolean;
}

/** So many errors of calls and connections in the interval are no longer taken for single ones. */
const MAX_ERRORS = 20;
const INTERVAL_MS = 10_000;

/**
 * Decides what an error that no code has handled costs: its call or connection alone, or the process.
 *
 * What many calls share changes in synchronous steps and in long-running tasks, so after an error of one
 * call or connection it is as it was before or after a step. Of a task that has thrown, or an error of
 * unknown origin, this can't be said; errors in series show that something shared is broken after all.
 *
 * @param now reads the monotonic clock, in milliseconds
 */
const newErrorPolicy = (now: () => number) => {
  let intervalEndsAt = -Infinity;
  let errors = 0;
  let isDraining = false;

  const countError = (): void => {
    if (now() >= intervalEndsAt) {
      errors = 0;
      intervalEndsAt = now() + INTERVAL_MS;
    }
    errors += 1;
  };

  /** Requests of others are still open in a process that drains, so a series does not cut it short. */
  const isInDoubt = (origin: ErrorOrigin): boolean =>
    origin === 'task' || origin === 'unknown' || (errors > MAX_ERRORS && !isDraining);

  const react = (origin: ErrorOrigin): Reaction => {
    if (!isInDoubt(origin)) return 'continue';
    if (isDraining) return 'exit';
    isDraining = true;
    return 'drain';
  };

  return {
    decide: (origin: ErrorOrigin): ErrorDecision => {
      countError();
      const reaction = react(origin);
      return { reaction, isReported: reaction !== 'continue' || errors <= MAX_ERRORS };
    },
  };
};

export default newErrorPolicy;
