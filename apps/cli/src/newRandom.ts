import { unsafeUniformIntDistribution, xoroshiro128plus } from 'pure-rand';

const STEPS = 2 ** 31;

/** Seeded random numbers from 0 up to but without 1: the same seed gives the same run. */
const newRandom = (seed: number): (() => number) => {
  const generator = xoroshiro128plus(seed);
  return () => unsafeUniformIntDistribution(0, STEPS - 1, generator) / STEPS;
};

export default newRandom;
