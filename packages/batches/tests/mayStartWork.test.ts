import test from 'ava';
import mayStartWork from '../src/mayStartWork.js';
import type { BatchesView } from '../src/mayStartWork.js';

const newView = (changes: Partial<BatchesView>): BatchesView => ({
  freshAt: 9_000,
  isStoreUnavailable: false,
  isPartitioned: false,
  ...changes,
});

test('items start on a view that was complete a moment ago', (t) => {
  t.true(mayStartWork(10_000, newView({}), true));
});

test('no item starts on a stale view while the store answers', (t) => {
  // Other hosts may have ended the batch, and its customer would pay for unwanted work.
  t.false(mayStartWork(10_000, newView({ freshAt: 7_000 }), true));
});

test('items still start while the store is unavailable', (t) => {
  // An engine fails in an outage of six seconds. Its items could resume elsewhere at once; waiting
  // for the store would make their step late, although no host can end a batch without the store.
  const view = newView({ freshAt: 5_000, isStoreUnavailable: true });
  t.true(mayStartWork(10_000, view, true));
  t.false(mayStartWork(20_000, view, true));
});

test('no item starts on a host that alone is rejected by the store', (t) => {
  // The store serves the other hosts, and one of them writes the end of the batch. This host does
  // not read it, and would run items for seconds after their customer was told that they had ended.
  const view = newView({ freshAt: 5_000, isStoreUnavailable: true, isPartitioned: true });
  t.false(mayStartWork(10_000, view, true));
  t.false(mayStartWork(10_000, view, false), 'other hosts may have stored it in the meantime');
});

test('a batch that the store does not have yet runs on any view', (t) => {
  t.true(mayStartWork(20_000, newView({ freshAt: 5_000, isStoreUnavailable: true }), false));
});

test('no item starts on a view that was never complete', (t) => {
  // A host that has just started reads batches before their ends.
  t.false(mayStartWork(10_000, newView({ freshAt: -Infinity, isStoreUnavailable: true }), true));
});
