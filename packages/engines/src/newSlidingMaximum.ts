import type Clock from '@cyclamengate/common/Clock';

interface Sample {
  value: number;
  expiresAt: number;
}

/** Maximum of the values of a sliding time window. */
const newSlidingMaximum = (clock: Clock, windowMs: number) => {
  let samples: Sample[] = [];

  return {
    add: (value: number): void => {
      const now = clock.now();
      // An older value that is not higher can no longer become the maximum.
      samples = samples.filter((sample) => sample.expiresAt > now && sample.value > value);
      samples.push({ value, expiresAt: now + windowMs });
    },
    read: (): number => {
      const now = clock.now();
      return Math.max(0, ...samples.filter(({ expiresAt }) => expiresAt > now).map((s) => s.value));
    },
  };
};

export type SlidingMaximum = ReturnType<typeof newSlidingMaximum>;

export default newSlidingMaximum;
