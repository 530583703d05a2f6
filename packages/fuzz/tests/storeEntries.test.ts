import test from 'ava';
import fuzzStore, { STORE_PARTS } from '../src/fuzzStore.js';

const SEED = 64;
const RUNS = 250;
const TEST_TIMEOUT_MS = 60_000;

STORE_PARTS.forEach((part) => {
  test.serial(
    `odd entries of the store cost themselves alone: ${part}, ${RUNS} scripts`,
    async (t) => {
      // Guards against a record of another program that ends a reader, or takes good records with it.
      t.timeout(TEST_TIMEOUT_MS);
      const { fault, lines } = await fuzzStore(part, { seed: SEED, runs: RUNS });
      t.is(fault, null, lines.join('\n'));
    },
  );
});
