import type { EventFields } from '@cyclamengate/common/newEventLog';
import { newManualClock } from '@cyclamengate/fakes/newManualClock';
import newMemoryStore, { newNoFaults } from '@cyclamengate/store/newMemoryStore';
import test from 'ava';
import newTextCache from '../src/newTextCache.js';
import newTexts from '../src/newTexts.js';
import { silentLog } from './helpers.js';
import { advanceUntilSettled, newSlowStore } from './newSlowStore.js';

const newHosts = () => {
  const clock = newManualClock();
  const memory = newMemoryStore();
  const newHost = (producer: string) => {
    const faults = newNoFaults();
    const store = memory.newView(faults);
    const unread: unknown[] = [];
    let failed = 0;
    const log = {
      ...silentLog,
      warn: (event: string, fields: EventFields = {}) => {
        if (event === 'texts.unread') unread.push(fields.fault);
        if (event === 'texts.read-failed') failed += 1;
      },
    };
    const texts = newTexts({ clock, log, store, producer });
    return { faults, unread, failedReads: () => failed, texts };
  };
  return { clock, memory, writer: newHost('host-1'), reader: newHost('host-2') };
};

test('any host returns the texts of results in the requested order', async (t) => {
  const { clock, writer, reader } = newHosts();
  const by = clock.now() + 1_000;
  const first = await writer.texts.write('b', 'first', by);
  await writer.texts.write('b', 'of no interest', by);
  const second = await writer.texts.write('b', 'second', by);
  t.deepEqual(await reader.texts.read([second, null, first], by), ['second', '', 'first']);
});

test('a text that is larger than a record is reassembled', async (t) => {
  const { clock, writer, reader } = newHosts();
  const long = 'äx'.repeat(200_000);
  const place = await writer.texts.write('b', long, clock.now() + 1_000);
  t.true((place?.count ?? 0) > 1);
  t.deepEqual(await reader.texts.read([place], clock.now() + 1_000), [long]);
});

test('the requests of a batch are read even if they exceed one page of the store', async (t) => {
  // Each call would return the same first records again, and the batch would never start.
  const { clock, memory, writer } = newHosts();
  const long = Array.from({ length: 250_000 }, (_, index) => String(index).padStart(8)).join('');
  const place = await writer.texts.write('b', long, clock.now() + 1_000);
  const store = newSlowStore(clock, memory.newView(), { latencyMs: 4, bytesPerMs: 50_000 });
  const texts = newTexts({ clock, log: silentLog, store, producer: 'host-3' });
  const [read] = await advanceUntilSettled(clock, texts.read([place], clock.now() + 700));
  t.true(read === long);
});

test('a text that cannot be read is never returned as an empty one', async (t) => {
  // The store rejects one host. A trainer that got empty texts from it would train on them; the
  // host has to report that it cannot answer.
  const { clock, writer, reader } = newHosts();
  const place = await writer.texts.write('b', 'text', clock.now() + 1_000);
  reader.faults.isRefusing = true;
  t.deepEqual(await reader.texts.read([place], clock.now() + 1_000), []);
  t.deepEqual(await writer.texts.read([place], clock.now() + 1_000), ['text']);
});

test('concurrent batches mostly store their texts in different topics', async (t) => {
  // A reader of one batch would also transfer the texts of the others, which takes longer over a
  // slow link than its caller waits.
  const { clock, writer } = newHosts();
  const running = 12;
  const rounds = 50;
  let shared = 0;
  for (let round = 0; round < rounds; round += 1) {
    const ids = Array.from({ length: running }, (_, index) => `batch-${round}-${index}`);
    const writes = ids.map((id) => writer.texts.write(id, 'text', clock.now() + 1_000));
    const topics = (await Promise.all(writes)).map((place) => place?.topic);
    shared += topics.filter((topic, at) => topics.indexOf(topic) !== at).length;
  }
  t.true(shared / (running * rounds) < 1 / 4);
});

test('a text that is read too late can be distinguished from one that is missing', async (t) => {
  // All three cases are a refusal to the caller; only the log line tells an operator the cause.
  const { clock, writer, reader } = newHosts();
  const place = await writer.texts.write('b', 'text', clock.now() + 1_000);
  const missing = { ...place!, offset: 7 };
  t.deepEqual(await reader.texts.read([place], clock.now() - 1_000), []);
  t.deepEqual(await reader.texts.read([missing], clock.now() + 1_000), []);
  reader.faults.isRefusing = true;
  t.deepEqual(await reader.texts.read([place], clock.now() + 1_000), []);
  t.deepEqual(reader.unread, ['late', 'no-records', 'not-done']);
});

test('a store that resets every connection is asked only three times for a page', async (t) => {
  // Each call has a cost, and a retry storm takes capacity that other hosts need.
  const { clock, writer, reader } = newHosts();
  const place = await writer.texts.write('b', 'text', clock.now() + 1_000);
  reader.faults.isUnresponsive = true;
  t.deepEqual(await advanceUntilSettled(clock, reader.texts.read([place], clock.now() + 400)), []);
  t.deepEqual(reader.unread, ['unknown']);
  t.is(reader.failedReads(), 3);
});

test('a text at a wrong location is not returned for the requested one', async (t) => {
  // A location that is off by one refers to another item's text, and a trainer would train on it.
  const { clock, writer, reader } = newHosts();
  const by = clock.now() + 1_000;
  const place = await writer.texts.write('b', 'text', by);
  await writer.texts.write('b', 'another one', by);
  t.deepEqual(await reader.texts.read([{ ...place!, offset: 1 }], by), []);
  t.deepEqual(reader.unread, ['misplaced']);
});

test('cached texts are returned in time even if the store does not answer for others', async (t) => {
  // A call may hang for longer than its caller waits, and texts that were already available were
  // held back as well.
  const { clock, memory, writer } = newHosts();
  const there = await writer.texts.write('b', 'there', clock.now() + 1_000);
  const hanging = newSlowStore(clock, memory.newView(), { latencyMs: 60_000, bytesPerMs: 1 });
  const texts = newTexts({ clock, log: silentLog, store: hanging, producer: 'host-3' });
  await texts.write('b', 'own', clock.now() + 1_000);
  const own = { ...there!, offset: 1, bytes: 3 };
  const deadline = clock.now() + 400;
  t.deepEqual(await advanceUntilSettled(clock, texts.read([own, there], deadline)), ['own']);
  t.true(clock.now() < deadline + 200);
});

test('a text whose location is not known does not count as written', async (t) => {
  // The response to the append is lost, and so is that to its retry. A result with a guessed
  // location would return another item's text.
  const { clock, writer } = newHosts();
  writer.faults.isUnresponsive = true;
  const placed = writer.texts.write('b', 'text', clock.now() + 500);
  await clock.advance(1_000);
  t.is(await placed, null);
});

test('the oldest texts are evicted first', (t) => {
  const cache = newTextCache(10);
  cache.put('texts', 0, Buffer.from('12345'));
  cache.put('texts', 1, Buffer.from('12345'));
  cache.put('texts', 2, Buffer.from('1'));
  t.is(cache.get('texts', 0), undefined);
  t.truthy(cache.get('texts', 1));
});

test('what lies between texts is neither held nor cached', async (t) => {
  // Guards against a page of small texts for which megabytes of other records stay in memory.
  const { clock, memory, writer, reader } = newHosts();
  const by = clock.now() + 1_000;
  const first = await writer.texts.write('b', 'first', by);
  const between = await writer.texts.write('b', 'x'.repeat(800_000), by);
  const second = await writer.texts.write('b', 'second', by);
  t.deepEqual(await reader.texts.read([first, second], by), ['first', 'second']);
  memory.trim(first!.topic, second!.offset + 1);
  t.deepEqual(await reader.texts.read([first, second], by), ['first', 'second']);
  t.deepEqual(await reader.texts.read([between], by), []);
});

test('large requests are written apart from texts, and their parts to several topics', async (t) => {
  // Guards against pages of results that consist of requests, and against parts that wait for one
  // another at the store.
  const { clock, writer } = newHosts();
  const by = clock.now() + 1_000;
  const text = await writer.texts.write('b', 'text', by);
  const parts = await Promise.all(
    [0, 1, 2].map((part) => writer.texts.writePart('b', part, Buffer.alloc(900_000), by)),
  );
  t.is(new Set([text, ...parts].map((place) => place?.topic)).size, 4);
});
