import { setMaxListeners } from 'node:events';

export interface TaskGroup {
  start: (name: string, task: (signal: AbortSignal) => Promise<void>) => void;
  signal: AbortSignal;
  /** Aborts the signal and waits until every task has ended. */
  stop: () => Promise<void>;
}

/**
 * The long-running tasks of one process. A task ends when the signal aborts. A task that throws has
 * violated an invariant: it is passed to `onFailure`, which stops the process. It is not started again,
 * since what it shares with others may be half changed.
 */
const newTaskGroup = (onFailure: (name: string, error: unknown) => void): TaskGroup => {
  const controller = new AbortController();
  // Every wait of every task adds a listener, which Node.js would report as a leak.
  setMaxListeners(0, controller.signal);
  const running = new Set<Promise<void>>();

  const start = (name: string, task: (signal: AbortSignal) => Promise<void>): void => {
    const run = task(controller.signal).catch((error: unknown) => onFailure(name, error));
    running.add(run);
    void run.finally(() => running.delete(run));
  };

  return {
    start,
    signal: controller.signal,
    stop: async (): Promise<void> => {
      controller.abort();
      await Promise.all(running);
    },
  };
};

export default newTaskGroup;
