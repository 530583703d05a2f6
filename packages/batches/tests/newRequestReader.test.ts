import newTestMemory from '@cyclamengate/fakes/newTestMemory';
import { newManualClock } from '@cyclamengate/fakes/newManualClock';
import test from 'ava';
import type { TextPlace } from '../src/batchRecord.js';
import newBatches from '../src/newBatches.js';
import newPartialTexts from '../src/newPartialTexts.js';
import newRequestReader from '../src/newRequestReader.js';
import { newBatch, newItem, newStoredBatch, silentLog } from './helpers.js';

const batch = newBatch('b', [newItem('1'), newItem('2')]);

/** Creates a host that has read the head of a batch, with a store that has the requests. */
const newFixture = (items = batch.items, limitBytes?: number) => {
  const clock = newManualClock();
  const batches = newBatches({ clock, retentionMs: 120_000, parts: newPartialTexts(clock) });
  const memory = newTestMemory(limitBytes);
  const store = { isUnavailable: false, reads: 0 };
  const { head, read } = newStoredBatch({ ...batch, items });
  const requests = newRequestReader({
    clock,
    log: silentLog,
    memory,
    readTexts: async (places: (TextPlace | null)[]) => {
      store.reads += 1;
      return store.isUnavailable ? [] : places.map(read);
    },
  });
  batches.apply(head);
  const state = batches.get('b');
  if (!state) throw new Error('no batch');
  return { clock, batches, memory, store, requests, state };
};

const newLargeItems = (count: number, bytes: number) =>
  Array.from({ length: count }, (_, index) =>
    newItem(String(index), { body: Buffer.alloc(bytes, String(index)).toString('base64') }),
  );

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
  const loaded = await requests.load(state, '2');
  t.is(loaded?.request.path, '/rounds/2');
  t.is(loaded?.request.body.toString(), 'prompt of 2');
  t.is(store.reads, 1);
});

test('requests that the store did not return are read again', async (t) => {
  // The store rejects this host when it comes to own a batch. If the batch were considered empty,
  // it would never run although this host owns it.
  const { clock, store, requests, state } = newFixture();
  store.isUnavailable = true;
  t.is(await requests.load(state, '1'), null);
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
  const { batches, memory, requests, state } = newFixture();
  batches.apply({ type: 'batch-end', batch: 'b' });
  const loaded = await requests.load(state, '1');
  t.is(loaded?.request.path, '/rounds/1');
  t.is(state.requests, null);
  loaded?.release();
  t.is(memory.heldBytes('bodies'), 0);
});

test('a host that runs a large batch holds a few of its segments at a time', async (t) => {
  // Guards against a batch within the operator's limit that ends the host that runs it.
  const items = newLargeItems(100, 200_000);
  const { memory, requests, state } = newFixture(items, 16_000_000);
  t.true(requests.isLoaded(state));
  for (const { id, body } of items) {
    const loaded = await requests.load(state, id);
    t.is(loaded?.request.body.toString('base64'), body);
    loaded?.release();
    t.true(memory.heldBytes('bodies') < 4_000_000);
  }
  requests.forget(state);
  t.is(memory.heldBytes('bodies'), 0);
});

test('a request that does not fit beside others is loaded once these are given back', async (t) => {
  // Guards against large items that end their host as they start together.
  const { clock, memory, requests, state } = newFixture(newLargeItems(2, 7_000_000), 16_000_000);
  const first = await requests.load(state, '0');
  t.is(first?.request.body.length, 7_000_000);
  t.is(await requests.load(state, '1'), null);
  first?.release();
  await clock.advance(150);
  const second = await requests.load(state, '1');
  t.is(second?.request.body.length, 7_000_000);
  second?.release();
  t.is(memory.heldBytes('bodies'), 0);
});

test('all items of a small batch are handed over, and none of a large one', async (t) => {
  const small = newFixture();
  t.deepEqual(await small.requests.loadAll(small.state), batch.items);
  const large = newFixture(newLargeItems(8, 200_000));
  t.is(await large.requests.loadAll(large.state), null);
});
