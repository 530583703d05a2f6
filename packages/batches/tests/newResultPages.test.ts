import { newManualClock } from '@cyclamengate/fakes/newManualClock';
import type { ManualClock } from '@cyclamengate/fakes/newManualClock';
import newMemoryStore from '@cyclamengate/store/newMemoryStore';
import test from 'ava';
import type { ItemResult, TextPlace } from '../src/batchRecord.js';
import newResultPages from '../src/newResultPages.js';
import newTexts from '../src/newTexts.js';
import { silentLog } from './helpers.js';
import { drive, newSlowView } from './newSlowView.js';

const ITEMS = 80;
const TEXT_BYTES = 9_000;
/** Records of other batches after each text. */
const OTHERS = 6;
const PATIENCE_MS = 1_500;
/** A caller asks twice a second, and a step is due after 7.5 s. */
const MOST_PAGES = 8;
/** A weak host's link to the store carries 42 Mbit/s. */
const BYTES_A_MS = 5_250;

const textOf = (index: number): string => String(index).padEnd(TEXT_BYTES, '.');

/** How long texts take on a host's link to their callers. */
const sendMs = (texts: string[]): number => texts.join('').length / BYTES_A_MS;

const newResult = (index: number, text: TextPlace): ItemResult => ({
  type: 'result',
  batch: 'b',
  item: `item-${index}`,
  state: 'completed',
  text,
  versions: [1],
  score: null,
});

/** Results whose texts stand in the store among those of others, in the order of the log. */
const writeResults = async (clock: ManualClock, memory: ReturnType<typeof newMemoryStore>) => {
  const texts = newTexts({ clock, log: silentLog, store: memory.newView(), producer: 'owner' });
  const results: ItemResult[] = [];
  for (let index = 0; index < ITEMS; index += 1) {
    const place = await texts.write('b', textOf(index), clock.now() + 1_000);
    results.push(newResult(index, place as TextPlace));
    for (let other = 0; other < OTHERS; other += 1) {
      await texts.write('b', 'x'.repeat(TEXT_BYTES), clock.now() + 1_000);
    }
  }
  return results;
};

/** A weak host that has none of the texts. */
const newReader = (
  clock: ManualClock,
  memory: ReturnType<typeof newMemoryStore>,
  latencyMs: number,
) => {
  const store = newSlowView(clock, memory.newView(), { latencyMs, bytesAMs: BYTES_A_MS });
  const texts = newTexts({ clock, log: silentLog, store, producer: 'reader' });
  return newResultPages({ clock, readTexts: texts.read });
};

const newScene = async () => {
  const clock = newManualClock();
  const memory = newMemoryStore();
  const results = await writeResults(clock, memory);
  return { clock, results, newReader: (latencyMs = 8) => newReader(clock, memory, latencyMs) };
};

const isInOrder = (texts: string[], from: number): boolean =>
  texts.every((text, index) => text === textOf(from + index));

test('a batch whose texts lie far apart is read to its end, each page at a host that has none of them', async (t) => {
  // After a loss of power at all hosts every call was refused for its own time limit, wherever it came.
  const scene = await newScene();
  let read = 0;
  let pages = 0;
  while (read < ITEMS && pages < MOST_PAGES) {
    pages += 1;
    const askedAt = scene.clock.now();
    const page = await drive(scene.clock, scene.newReader().read(scene.results, read));
    const texts = page?.texts ?? [];
    t.true(isInOrder(texts, read));
    t.true(scene.clock.now() + sendMs(texts) < askedAt + PATIENCE_MS);
    read += texts.length;
    if (texts.length === 0) break;
  }
  t.is(read, ITEMS);
});

test('a result comes though the texts of later ones were written before its own', async (t) => {
  // Scores come back in another order than texts were written; time ran out on what stood before it.
  const scene = await newScene();
  const order = Array.from({ length: ITEMS }, (_, index) => index - 2 * (index % 8) + 7);
  const results = order.map((index) => scene.results[index] as ItemResult);
  const { read } = scene.newReader();
  const froms = [0, 8, 16, 24, 32, 40, 48, 56];
  const pages = await drive(scene.clock, Promise.all(froms.map((from) => read(results, from))));
  t.deepEqual(
    pages.map((page) => page?.texts[0]),
    froms.map((from) => textOf(order[from] ?? 0)),
  );
});

test('callers that ask a weak host at the same moment all get some results in time', async (t) => {
  // Several batches are read at once, and share the host's link; each call came too late then.
  const scene = await newScene();
  const { read } = scene.newReader();
  const askedAt = scene.clock.now();
  const asked = [0, 20, 40, 60].map((from) => read(scene.results, from));
  const pages = await drive(scene.clock, Promise.all(asked));
  const isGiven = (texts: string[], from: number): boolean =>
    texts.length > 0 && isInOrder(texts, from);
  t.true(pages.every((page, index) => isGiven(page?.texts ?? [], index * 20)));
  const sentMs = sendMs(pages.flatMap((page) => page?.texts ?? []));
  t.true(scene.clock.now() + sentMs < askedAt + PATIENCE_MS);
});

test('a store that takes most of a second for a call still gives a caller its first results', async (t) => {
  // The store is slow for all; a limit below one call's time would refuse every page at every host.
  const scene = await newScene();
  for (const latencyMs of [300, 700]) {
    const askedAt = scene.clock.now();
    const page = await drive(scene.clock, scene.newReader(latencyMs).read(scene.results, 0));
    t.true((page?.texts.length ?? 0) > 0);
    t.true(isInOrder(page?.texts ?? [], 0));
    t.true(scene.clock.now() + sendMs(page?.texts ?? []) < askedAt + PATIENCE_MS);
  }
});
