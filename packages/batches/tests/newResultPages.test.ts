import { newManualClock } from '@cyclamengate/fakes/newManualClock';
import type { ManualClock } from '@cyclamengate/fakes/newManualClock';
import newMemoryStore from '@cyclamengate/store/newMemoryStore';
import test from 'ava';
import type { ItemResult, TextPlace } from '../src/batchRecord.js';
import newResultPages from '../src/newResultPages.js';
import type { ResultPage } from '../src/newResultPages.js';
import newTexts from '../src/newTexts.js';
import { silentLog } from './helpers.js';
import { drive, newSlowView } from './newSlowView.js';

const ITEMS = 80;
const TEXT_BYTES = 9_000;
/** Records of other batches after each text. */
const OTHERS = 6;
/** A caller waits 1.5 s for an answer, which has to reach it over the host's link as well. */
const PATIENCE_MS = 1_200;
/** A weak host's link to the store carries 42 Mbit/s. */
const BYTES_A_MS = 5_250;

const textOf = (index: number): string => String(index).padEnd(TEXT_BYTES, '.');

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

test('a batch whose texts lie far apart is read to its end, each page at a host that has none of them', async (t) => {
  // After a loss of power at all hosts every call was refused for its own time limit, wherever it came.
  const clock = newManualClock();
  const memory = newMemoryStore();
  const results = await writeResults(clock, memory);
  const readAtNewHost = (from: number): Promise<ResultPage | null> => {
    const store = newSlowView(clock, memory.newView(), { latencyMs: 8, bytesAMs: BYTES_A_MS });
    const texts = newTexts({ clock, log: silentLog, store, producer: 'reader' });
    return newResultPages({ clock, readTexts: texts.read }).read(results, from);
  };
  const read: string[] = [];
  let calls = 0;
  while (read.length < ITEMS && calls < ITEMS) {
    const askedAt = clock.now();
    const page = await drive(clock, readAtNewHost(read.length));
    calls += 1;
    if (!page || page.texts.length === 0) break;
    t.true(clock.now() - askedAt < PATIENCE_MS);
    read.push(...page.texts);
  }
  t.is(read.length, ITEMS);
  t.true(read.every((text, index) => text === textOf(index)));
});
