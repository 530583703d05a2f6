import test from 'ava';
import FUZZERS from '../src/fuzz.js';

const SEED = 64;
const TEST_TIMEOUT_MS = 90_000;
const STORE_RUNS = 250;
const WIRE_RUNS = 80;

FUZZERS.forEach((fuzz, part) => {
  const runs = part === 'wire' ? WIRE_RUNS : STORE_RUNS;
  const what = part === 'wire' ? 'odd answers of an upstream' : 'odd entries of the store';
  test.serial(`${what} cost themselves alone: ${part}, ${runs} scripts`, async (t) => {
    // Guards against what another program sends that ends a reader, or takes something good with it.
    t.timeout(TEST_TIMEOUT_MS);
    const { fault, lines } = await fuzz({ seed: SEED, runs });
    t.is(fault, null, lines.join('\n'));
  });
});
