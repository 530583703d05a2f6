import { newManualClock } from '@cyclamengate/fakes/newManualClock';
import test from 'ava';
import newBatches from '../src/newBatches.js';
import newBatchHead from '../src/newBatchHead.js';
import newPartialTexts from '../src/newPartialTexts.js';
import newRequestReader from '../src/newRequestReader.js';
import { newBatch, newItem, silentLog } from './helpers.js';

const place = { topic: 'texts-1', offset: 0, count: 1, bytes: 200 };
const batch = newBatch('b', [newItem('1'), newItem('2')]);

/** Creates a host that has read the head of a batch, with a store that has the requests. */
const newFixture = () => {
  const clock = newManualClock();
  const batches = newBatches({ clock, retentionMs: 120_000, parts: newPartialTexts(clock) });
  const store = { isUnavailable: false, reads: 0 };
  const requests = newRequestReader({
    clock,
    log: silentLog,
    readTexts: async () => {
      store.reads += 1;
      return store.isUnavailable ? [] : [JSON.stringify(batch.items)];
    },
  });
  batches.apply(newBatchHead(batch, place));
  const state = batches.get('b');
  if (!state) throw new Error('no batch');
  return { clock, batches, store, requests, state };
};

test('a host that only follows a batch does not read its requests', (t) => {
  const { store, state } = newFixture();
  t.is(state.items.size, 2);
  t.is(state.requests, null);
  t.is(store.reads, 0);
});

test('the host that runs a batch reads its requests once', async (t) => {
  const { clock, store, requests, state } = newFixture();
  t.false(requests.isLoaded(state));
  t.false(requests.isLoaded(state));
  await clock.advance(10);
  t.true(requests.isLoaded(state));
  t.is(state.requests?.get('2')?.path, '/rounds/2');
  t.is(store.reads, 1);
});

test('requests that the store did not return are read again', async (t) => {
  // The store rejects this host when it comes to own a batch. If the batch were considered empty,
  // it would never run although this host owns it.
  const { clock, store, requests, state } = newFixture();
  store.isUnavailable = true;
  t.is(await requests.read(state), null);
  t.false(requests.isLoaded(state));
  t.is(store.reads, 1, 'not retried at once');
  store.isUnavailable = false;
  await clock.advance(150);
  t.false(requests.isLoaded(state));
  await clock.advance(10);
  t.true(requests.isLoaded(state));
});

test('an item of an ended batch is returned but not retained', async (t) => {
  // The end of the batch and a caller's request for an item overlap.
  const { batches, requests, state } = newFixture();
  batches.apply({ type: 'batch-end', batch: 'b' });
  const items = await requests.read(state);
  t.is(items?.get('1')?.path, '/rounds/1');
  t.is(state.requests, null);
});
