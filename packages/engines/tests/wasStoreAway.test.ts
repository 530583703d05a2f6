import test from 'ava';
import wasStoreAway from '../src/wasStoreAway.js';

const INTERVAL_MS = 1_200;

const wasAway = (durationMs: number, mostWrites: number | null): boolean =>
  wasStoreAway({ durationMs, mostWrites }, INTERVAL_MS);

test('in a gap in which no entry can expire the store was not away', (t) => {
  // Guards against requests to an upstream that has left: one lost read of this host alone is no reason
  // to doubt that its entry was deleted.
  t.false(wasAway(300, 0));
  t.false(wasAway(2_300, 1));
  t.false(wasAway(2_300, null));
});

test('in a longer gap in which entries were written as usual the store was not away', (t) => {
  t.false(wasAway(6_000, 5));
  t.false(wasAway(12_000, 9));
});

test('entries may have expired in a longer gap in which none was written', (t) => {
  // Guards against a host that has no upstream left after an outage, although all are alive.
  t.true(wasAway(3_000, 0));
  t.true(wasAway(6_000, 2));
  t.true(wasAway(3_600, 3));
  t.true(wasAway(30_000, 6));
  t.true(wasAway(6_000, null));
});
