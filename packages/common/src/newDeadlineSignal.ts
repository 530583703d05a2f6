import type Clock from './Clock.js';

export interface DeadlineSignal {
  signal: AbortSignal;
  end: () => void;
}

/** A signal that aborts at a deadline, on the monotonic clock, unless it is ended before. */
const newDeadlineSignal = (clock: Clock, deadline: number): DeadlineSignal => {
  const controller = new AbortController();
  const ended = new AbortController();
  void clock.sleepUntil(deadline, ended.signal).then(() => {
    if (!ended.signal.aborted) controller.abort('deadline');
  });
  return { signal: controller.signal, end: (): void => ended.abort('over') };
};

export default newDeadlineSignal;
