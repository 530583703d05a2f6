import { newManualClock } from '@cyclamengate/fakes/newManualClock';
import test from 'ava';
import newBatches from '../src/newBatches.js';
import newBatchHead from '../src/newBatchHead.js';
import newPartTexts from '../src/newPartTexts.js';
import newRequestReader from '../src/newRequestReader.js';
import { newBatch, newItem, silentLog } from './helpers.js';

const place = { topic: 'texts-1', offset: 0, count: 1, bytes: 200 };
const batch = newBatch('b', [newItem('1'), newItem('2')]);

/** A host that has read the head of a batch, before a store that has its items. */
const newParts = () => {
  const clock = newManualClock();
  const batches = newBatches({ clock, lifeMs: 120_000, parts: newPartTexts(clock) });
  const store = { isAway: false, reads: 0 };
  const requests = newRequestReader({
    clock,
    log: silentLog,
    readTexts: async () => {
      store.reads += 1;
      return store.isAway ? [] : [JSON.stringify(batch.items)];
    },
  });
  batches.apply(newBatchHead(batch, place));
  const state = batches.get('b');
  if (!state) throw new Error('no batch');
  return { clock, batches, store, requests, state };
};

test('a host that only follows a batch does not read its requests', (t) => {
  const { store, state } = newParts();
  t.is(state.items.size, 2);
  t.is(state.requests, null);
  t.is(store.reads, 0);
});

test('the host that runs a batch reads its requests once', async (t) => {
  const { clock, store, requests, state } = newParts();
  t.false(requests.isHere(state));
  t.false(requests.isHere(state));
  await clock.advance(10);
  t.true(requests.isHere(state));
  t.is(state.requests?.get('2')?.path, '/rounds/2');
  t.is(store.reads, 1);
});

test('requests that the store does not give are asked for again', async (t) => {
  // The store turns this host away as a batch becomes its own. Taken for empty, the batch would
  // never run here though the host owns it.
  const { clock, store, requests, state } = newParts();
  store.isAway = true;
  t.is(await requests.read(state), null);
  t.false(requests.isHere(state));
  t.is(store.reads, 1, 'not at once');
  store.isAway = false;
  await clock.advance(150);
  t.false(requests.isHere(state));
  await clock.advance(10);
  t.true(requests.isHere(state));
});

test('an item of an ended batch is given, and not kept', async (t) => {
  // The end and a caller's question for an item cross each other.
  const { batches, requests, state } = newParts();
  batches.apply({ type: 'batch-end', batch: 'b' });
  const items = await requests.read(state);
  t.is(items?.get('1')?.path, '/rounds/1');
  t.is(state.requests, null);
});
