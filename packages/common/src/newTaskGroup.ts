import { setMaxListeners } from 'node:events';

export interface TaskGroup {
  start: (name: string, task: (signal: AbortSignal) => Promise<void>) => void;
  signal: AbortSignal;
  /** Aborts the signal and waits until every task has ended. */
  stop: () => Promise<void>;
}

/**
 * The long-running tasks of one process. A task ends when the signal aborts; one that throws has
 * broken an invariant and stops the process.
 */
const newTaskGroup = (onBroken: (name: string, error: unknown) => void): TaskGroup => {
  const controller = new AbortController();
  // Every wait of every task listens to it; Node.js would take that for a leak.
  setMaxListeners(0, controller.signal);
  const running = new Set<Promise<void>>();

  const start = (name: string, task: (signal: AbortSignal) => Promise<void>): void => {
    const run = task(controller.signal).catch((error: unknown) => onBroken(name, error));
    running.add(run);
    run.finally(() => running.delete(run));
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
