import type Clock from './Clock.js';

/** Lets one task wait for a deadline or for a notification by another task, whichever is first. */
const newNotifier = (clock: Clock) => {
  let isNotified = false;
  let sleepController: AbortController | null = null;

  const notify = (): void => {
    isNotified = true;
    // The reason avoids creating an error with a stack trace on every abort.
    sleepController?.abort('woken');
  };

  return {
    notify,
    /** Returns at once if a notification has arrived since the last wait. */
    wait: async (deadline: number): Promise<void> => {
      if (!isNotified) {
        sleepController = new AbortController();
        await clock.sleepUntil(deadline, sleepController.signal);
        sleepController = null;
      }
      isNotified = false;
    },
  };
};

export type Notifier = ReturnType<typeof newNotifier>;

export default newNotifier;
