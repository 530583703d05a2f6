import newSeededRandom from '@cyclamengate/fakes/newSeededRandom';

/** Fraction of the items that are several times as long. */
const LONG_FRACTION = 1 / 12;
const LONG_FACTOR = 5;
const MAX_TOKENS = 9_450;
const SPREAD = 0.6;

/** Small seeds next to each other would begin with alike numbers. */
const SEED_FACTOR = 7_919;

/** Draws lengths of items: lognormal, with a heavy tail. */
const newLengths = (seed: number) => {
  const random = newSeededRandom(seed * SEED_FACTOR);
  const drawNormal = (): number =>
    Math.sqrt(-2 * Math.log(1 - random())) * Math.cos(2 * Math.PI * random());
  const spread = (): number => Math.exp(SPREAD * drawNormal());
  const draw = (median: number): number =>
    Math.min(MAX_TOKENS, median * spread() * (random() < LONG_FRACTION ? LONG_FACTOR : 1));

  return {
    random,
    spread,
    lengths: (count: number, median: number): number[] =>
      Array.from({ length: count }, () => draw(median)),
  };
};

export default newLengths;
