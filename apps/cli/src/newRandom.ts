import { unsafeUniformIntDistribution, xoroshiro128plus } from 'pure-rand';

const RANGE = 2 ** 31;

/** Creates a generator of random numbers in [0, 1); the same seed gives the same sequence. */
const newRandom = (seed: number): (() => number) => {
  const generator = xoroshiro128plus(seed);
  return () => unsafeUniformIntDistribution(0, RANGE - 1, generator) / RANGE;
};

export default newRandom;
