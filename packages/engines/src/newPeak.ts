import type Clock from '@cyclamengate/common/Clock';

interface Sample {
  value: number;
  deadline: number;
}

/** The highest value of late. */
const newPeak = (clock: Clock, lifeMs: number) => {
  let samples: Sample[] = [];

  return {
    note: (value: number): void => {
      const now = clock.now();
      // A lower value that is older can never be the peak again.
      samples = samples.filter((sample) => sample.deadline > now && sample.value > value);
      samples.push({ value, deadline: now + lifeMs });
    },
    read: (): number => {
      const now = clock.now();
      return Math.max(0, ...samples.filter(({ deadline }) => deadline > now).map((s) => s.value));
    },
  };
};

export type Peak = ReturnType<typeof newPeak>;

export default newPeak;
