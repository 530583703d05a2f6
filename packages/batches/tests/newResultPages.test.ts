import { newManualClock } from '@cyclamengate/fakes/newManualClock';
import type { ManualClock } from '@cyclamengate/fakes/newManualClock';
import newMemoryStore from '@cyclamengate/store/newMemoryStore';
import test from 'ava';
import type { ItemResult, TextPlace } from '../src/batchRecord.js';
import newResultPages from '../src/newResultPages.js';
import newTexts from '../src/newTexts.js';
import { silentLog } from './helpers.js';
import { advanceUntilSettled, newSlowStore } from './newSlowStore.js';

const ITEMS = 80;
const TEXT_BYTES = 9_000;
/** Number of texts of other items after each text. */
const OTHER_TEXTS = 6;
const CALLER_TIMEOUT_MS = 1_500;
/** A caller asks twice a second, and a step is due after 7.5 s. */
const MAX_PAGES = 8;
/** A slow host's link to the store carries 42 Mbit/s. */
const BYTES_PER_MS = 5_250;

const textOf = (index: number): string => String(index).padEnd(TEXT_BYTES, '.');

/** Time to send texts over a host's link to its callers. */
const sendMs = (texts: string[]): number => texts.join('').length / BYTES_PER_MS;

const newResult = (index: number, text: TextPlace): ItemResult => ({
  type: 'result',
  batch: 'b',
  item: `item-${index}`,
  state: 'completed',
  text,
  versions: [1],
  score: null,
});

/** Writes results whose texts are interleaved with other texts in the store, in log order. */
const writeResults = async (clock: ManualClock, memory: ReturnType<typeof newMemoryStore>) => {
  const texts = newTexts({ clock, log: silentLog, store: memory.newView(), producer: 'owner' });
  const results: ItemResult[] = [];
  for (let index = 0; index < ITEMS; index += 1) {
    const place = await texts.write('b', textOf(index), clock.now() + 1_000);
    results.push(newResult(index, place as TextPlace));
    for (let other = 0; other < OTHER_TEXTS; other += 1) {
      await texts.write('b', 'x'.repeat(TEXT_BYTES), clock.now() + 1_000);
    }
  }
  return results;
};

/** Creates a reader on a slow link with an empty cache. */
const newReader = (
  clock: ManualClock,
  memory: ReturnType<typeof newMemoryStore>,
  latencyMs: number,
) => {
  const store = newSlowStore(clock, memory.newView(), { latencyMs, bytesPerMs: BYTES_PER_MS });
  const texts = newTexts({ clock, log: silentLog, store, producer: 'reader' });
  return newResultPages({ clock, readTexts: texts.read });
};

const newFixture = async () => {
  const clock = newManualClock();
  const memory = newMemoryStore();
  const results = await writeResults(clock, memory);
  return { clock, results, newReader: (latencyMs = 8) => newReader(clock, memory, latencyMs) };
};

const isInOrder = (texts: string[], from: number): boolean =>
  texts.every((text, index) => text === textOf(from + index));

test('a batch whose texts are far apart is read to its end, each page by a host with an empty cache', async (t) => {
  // After a power failure of all hosts, each host refused every call at the call's time limit.
  const fixture = await newFixture();
  let read = 0;
  let pages = 0;
  while (read < ITEMS && pages < MAX_PAGES) {
    pages += 1;
    const askedAt = fixture.clock.now();
    const page = await advanceUntilSettled(
      fixture.clock,
      fixture.newReader().read(fixture.results, read),
    );
    const texts = page?.texts ?? [];
    t.true(isInOrder(texts, read));
    t.true(fixture.clock.now() + sendMs(texts) < askedAt + CALLER_TIMEOUT_MS);
    read += texts.length;
    if (texts.length === 0) break;
  }
  t.is(read, ITEMS);
});

test('a result is returned even if the texts of later results were written before its own', async (t) => {
  // Scores arrive in another order than the texts were written in, and the time was spent on the
  // records before the wanted text.
  const fixture = await newFixture();
  const order = Array.from({ length: ITEMS }, (_, index) => index - 2 * (index % 8) + 7);
  const results = order.map((index) => fixture.results[index] as ItemResult);
  const { read } = fixture.newReader();
  const froms = [0, 8, 16, 24, 32, 40, 48, 56];
  const pages = await advanceUntilSettled(
    fixture.clock,
    Promise.all(froms.map((from) => read(results, from))),
  );
  t.deepEqual(
    pages.map((page) => page?.texts[0]),
    froms.map((from) => textOf(order[from] ?? 0)),
  );
});

test('concurrent callers of a host with a slow link all get some results in time', async (t) => {
  // Several batches are read at once and share the host's link, so that every call was late.
  const fixture = await newFixture();
  const { read } = fixture.newReader();
  const askedAt = fixture.clock.now();
  const pendingReads = [0, 20, 40, 60].map((from) => read(fixture.results, from));
  const pages = await advanceUntilSettled(fixture.clock, Promise.all(pendingReads));
  const isReturned = (texts: string[], from: number): boolean =>
    texts.length > 0 && isInOrder(texts, from);
  t.true(pages.every((page, index) => isReturned(page?.texts ?? [], index * 20)));
  const sentMs = sendMs(pages.flatMap((page) => page?.texts ?? []));
  t.true(fixture.clock.now() + sentMs < askedAt + CALLER_TIMEOUT_MS);
});

test('a caller gets its first results even if a store call takes most of a second', async (t) => {
  // The store is slow for all hosts; a time limit shorter than one call would refuse every page on
  // every host.
  const fixture = await newFixture();
  for (const latencyMs of [300, 700]) {
    const askedAt = fixture.clock.now();
    const page = await advanceUntilSettled(
      fixture.clock,
      fixture.newReader(latencyMs).read(fixture.results, 0),
    );
    t.true((page?.texts.length ?? 0) > 0);
    t.true(isInOrder(page?.texts ?? [], 0));
    t.true(fixture.clock.now() + sendMs(page?.texts ?? []) < askedAt + CALLER_TIMEOUT_MS);
  }
});
