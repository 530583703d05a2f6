/** Time as a process sees it. Leases and timeouts use the monotonic side, windows the wall side. */
export default abstract class Clock {
  /** Milliseconds on a monotonic clock; only differences within one process mean anything. */
  abstract now(): number;

  /** Milliseconds since the epoch. May step; never decides a lease or a timeout. */
  abstract wallTime(): number;

  /** Resolves once `now()` has reached the deadline, or at once when the signal aborts. */
  abstract sleepUntil(deadline: number, signal?: AbortSignal): Promise<void>;
}
