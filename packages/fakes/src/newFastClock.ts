import Clock from '@cyclamengate/common/Clock';
import newSystemClock from '@cyclamengate/common/newSystemClock';

/** The readers' timeouts are seconds; answers on loopback take a small part of that even so. */
const SPEED = 10;

/** A clock that runs faster than that of this machine. */
const newFastClock = (): Clock => {
  const clock = newSystemClock();
  class FastClock extends Clock {
    now(): number {
      return clock.now() * SPEED;
    }

    wallTime(): number {
      return clock.wallTime();
    }

    sleepUntil(deadline: number, signal?: AbortSignal): Promise<void> {
      return clock.sleepUntil(deadline / SPEED, signal);
    }
  }
  return new FastClock();
};

export default newFastClock;
