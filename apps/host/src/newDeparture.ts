import type Clock from '@cyclamengate/common/Clock';

/**
 * For how long after the stop signal all requests are taken: the load balancer opens new connections for
 * up to 2 s, and callers whose requests are refused come back to the same host until then.
 */
const TAKE_ALL_MS = 2_800;
/** Time reserved before the kill for the process to exit by itself. */
const EXIT_RESERVE_MS = 700;

/**
 * What a stopping host still takes. After the first seconds it takes only what is sure to be over before
 * its process ends, by whichever way it comes; the rest is refused at once, and served by others.
 */
const newDeparture = (clock: Clock, shutdownMs: number) => {
  let takesAllUntil = Number.POSITIVE_INFINITY;
  let endsAt = Number.POSITIVE_INFINITY;

  return {
    /** Called at the stop signal. */
    begin: (): void => {
      takesAllUntil = clock.now() + TAKE_ALL_MS;
      endsAt = clock.now() + shutdownMs - EXIT_RESERVE_MS;
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
    canFinish: (deadline: number): boolean => clock.now() < takesAllUntil || deadline <= endsAt,
  };
};

export type Departure = ReturnType<typeof newDeparture>;

export default newDeparture;
