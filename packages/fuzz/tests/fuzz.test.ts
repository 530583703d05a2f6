import test from 'ava';
import type { ExecutionContext } from 'ava';
import FUZZERS from '../src/fuzz.js';
import { STORE_PARTS } from '../src/storeScript.js';

const SEED = 64;
const STORE_RUNS = 250;
const WIRE_RUNS = 100;
const TEST_TIMEOUT_MS = 90_000;

const findNothing = async (t: ExecutionContext, part: string, runs: number): Promise<void> => {
  t.timeout(TEST_TIMEOUT_MS);
  const found = await FUZZERS.get(part)?.({ seed: SEED, runs });
  t.is(found?.fault, null, found?.lines.join('\n'));
};

STORE_PARTS.forEach((part) => {
  test.serial(`odd entries of the store cost themselves alone: ${part}`, async (t) => {
    // Guards against a record of another program that ends a reader, or takes good records with it.
    await findNothing(t, part, STORE_RUNS);
  });
});

test.serial('odd answers of an upstream cost their own calls alone', async (t) => {
  // Guards against bytes of an upstream that end a host, or that a caller gets as what they are not.
  await findNothing(t, 'wire', WIRE_RUNS);
});
