const MODULUS = 2_147_483_647;
const MULTIPLIER = 48_271;

/**
 * Numbers from 0 to below 1, the same in each run (minimal standard generator).
 * @param seed above 0 and below 2^31 - 1
 */
const newSeededRandom = (seed: number): (() => number) => {
  let state = seed;
  return () => {
    state = (state * MULTIPLIER) % MODULUS;
    return state / MODULUS;
  };
};

export default newSeededRandom;
