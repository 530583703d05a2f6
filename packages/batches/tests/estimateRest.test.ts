import test from 'ava';
import estimateRest from '../src/estimateRest.js';
import newLengths from './newLengths.js';

test('the expected rest is nearer to the mean rest than the hint less what is generated', (t) => {
  // Items of 1000 tokens at the median, one in twelve five times as long. An item that had passed
  // its hint counted as nearly done, and the longest ones stayed on slow engines.
  const lengths = newLengths(1).lengths(40_000, 1_000);
  [250, 500, 750, 1_000, 1_500, 2_000, 3_000, 4_000].forEach((generated) => {
    const rests = lengths
      .filter((length) => length > generated)
      .map((length) => length - generated);
    const mean = rests.reduce((sum, rest) => sum + rest, 0) / rests.length;
    const before = Math.abs(Math.max(160, 1_000 - generated) - mean);
    const now = Math.abs(estimateRest(1_000, generated) - mean);
    t.log(
      `${generated}: mean rest ${Math.round(mean)}, expected ${estimateRest(1_000, generated)}`,
    );
    t.true(now < before, `after ${generated}: ${now} instead of ${before}`);
  });
});

test('an item without a hint has an expected rest, and none is expected to end at once', (t) => {
  t.is(estimateRest(null, 0), 1_200);
  t.is(estimateRest(100, 50), 160);
});
