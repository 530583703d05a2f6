import type Clock from '@cyclamengate/common/Clock';
import sleepUntilCaughtUp from '@cyclamengate/common/sleepUntilCaughtUp';

export interface IdleTimeoutOptions {
  clock: Clock;
  /** Ends the wait as well. */
  signal: AbortSignal;
  /** Timeout for the first chunk, in milliseconds. */
  firstTimeoutMs: number;
  /** Maximum gap between two chunks, in milliseconds. */
  timeoutMs: number;
}

export interface IdleTimeout {
  /** Aborted when the stream is silent for too long. */
  signal: AbortSignal;
  /** To be called with each chunk. */
  reset: () => void;
  end: () => void;
}

/**
 * Aborts the wait for the next chunk of a stream when it takes too long or the run has ended. A delay
 * of this process does not count: the chunks that have arrived meanwhile are read first.
 */
const newIdleTimeout = ({
  clock,
  signal,
  firstTimeoutMs,
  timeoutMs,
}: IdleTimeoutOptions): IdleTimeout => {
  const controller = new AbortController();
  let deadline = clock.now() + firstTimeoutMs;
  const watch = async (): Promise<void> => {
    while (!controller.signal.aborted) {
      if (signal.aborted || clock.now() >= deadline) {
        controller.abort('silent');
        return;
      }
      // A chunk may bring the deadline forward, since the first one has the longer timeout.
      const wakeAt = Math.min(deadline, clock.now() + timeoutMs);
      await sleepUntilCaughtUp(clock, wakeAt, controller.signal);
    }
  };
  void watch();
  return {
    signal: controller.signal,
    reset: (): void => {
      deadline = clock.now() + timeoutMs;
    },
    end: (): void => controller.abort('over'),
  };
};

export default newIdleTimeout;
