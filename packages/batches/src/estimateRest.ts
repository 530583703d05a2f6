/** Expected tokens of an item without a hint. */
export const DEFAULT_EXPECTED_TOKENS = 1_200;
/** An item that runs has at least a few more events. */
const MIN_EXPECTED_TOKENS = 160;
/** Part of what an item has generated that it is expected to generate still. */
const RESIDUAL_SHARE = 0.5;

/**
 * Expected number of tokens that an item has yet to generate.
 *
 * A hint is right at the median, and a few items are several times as long. So what an item has
 * generated brings its end nearer by less than that, and one that has passed its hint is likely one
 * of the long ones: the longer it has run, the longer it will run still.
 */
const estimateRest = (hint: number | null, generatedTokens: number): number =>
  Math.max(
    MIN_EXPECTED_TOKENS,
    (hint ?? DEFAULT_EXPECTED_TOKENS) - generatedTokens * RESIDUAL_SHARE,
    generatedTokens * RESIDUAL_SHARE,
  );

export default estimateRest;
