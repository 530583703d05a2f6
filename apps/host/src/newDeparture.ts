import type Clock from '@cyclamengate/common/Clock';

/**
 * For how long after the stop signal all requests are taken: the load balancer opens new connections for
 * up to 2 s, and callers whose requests are refused come back to the same host until then.
 */
const TAKE_ALL_MS = 2_800;
/** Time reserved before the kill for the process to exit by itself. */
const EXIT_RESERVE_MS = 700;
/** Before the process ends, for answers to what is still open. */
const ANSWER_RESERVE_MS = 150;

/** A set of listeners that are called once, and of which each can be removed. */
const newListeners = () => {
  const listeners = new Set<() => void>();
  return {
    add: (listener: () => void): (() => void) => {
      listeners.add(listener);
      return () => {
        listeners.delete(listener);
      };
    },
    call: (): void => {
      const called = [...listeners];
      listeners.clear();
      called.forEach((listener) => listener());
    },
  };
};

/**
 * What a stopping host still takes. After the first seconds it takes only what is sure to be over before
 * its process ends, by whichever way it comes; the rest is refused at once, and served by others.
 */
const newDeparture = (clock: Clock, shutdownMs: number) => {
  let takesAllUntil = Number.POSITIVE_INFINITY;
  let endsAt = Number.POSITIVE_INFINITY;
  const lateListeners = newListeners();
  const endListeners = newListeners();

  const canFinish = (deadline: number): boolean =>
    clock.now() < takesAllUntil || deadline <= endsAt;

  const callAt = async (at: number, call: () => void): Promise<void> => {
    await clock.sleepUntil(at);
    call();
  };

  return {
    /** Called at the stop signal. */
    begin: (): void => {
      takesAllUntil = clock.now() + TAKE_ALL_MS;
      endsAt = clock.now() + shutdownMs - EXIT_RESERVE_MS;
      void callAt(takesAllUntil, lateListeners.call);
      void callAt(endsAt - ANSWER_RESERVE_MS, endListeners.call);
    },
    /** Takes nothing from now on. */
    close: (): void => {
      takesAllUntil = clock.now();
      endsAt = clock.now();
    },
    isLeaving: (): boolean => endsAt !== Number.POSITIVE_INFINITY,
    /** When the process ends, on the monotonic clock. */
    endsAt: (): number => endsAt,
    /** @param deadline when the work is over at the latest, on the monotonic clock */
    canFinish,
    /**
     * Calls back once work that was taken, and has not begun, can't be sure to be over by its deadline.
     * @returns removes the callback
     */
    onLate: (deadline: number, refuse: () => void): (() => void) =>
      lateListeners.add(() => {
        if (!canFinish(deadline)) refuse();
      }),
    /** Calls back while there is just time for an answer. @returns removes the callback */
    onEnd: endListeners.add,
  };
};

export type Departure = ReturnType<typeof newDeparture>;

export default newDeparture;
