/** The clock of a process. Leases and timeouts use monotonic time, usage windows use wall time. */
export default abstract class Clock {
  /** Monotonic time in milliseconds. Only values of the same process may be compared. */
  abstract now(): number;

  /** Milliseconds since the epoch. May jump, so it must not be used for leases or timeouts. */
  abstract wallTime(): number;

  /** Resolves once `now()` has reached the deadline, or at once when the signal aborts. */
  abstract sleepUntil(deadline: number, signal?: AbortSignal): Promise<void>;
}
