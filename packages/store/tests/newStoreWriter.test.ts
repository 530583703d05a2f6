import { newManualClock } from '@cyclamengate/fakes/newManualClock';
import test from 'ava';
import newMemoryStore, { newNoFaults } from '../src/newMemoryStore.js';
import newStoreWriter from '../src/newStoreWriter.js';
import silentLog from './silentLog.js';

const newParts = () => {
  const clock = newManualClock();
  const memory = newMemoryStore();
  const faults = newNoFaults();
  const writer = newStoreWriter({
    clock,
    log: silentLog,
    store: memory.newView(faults),
    topic: 'work',
    producer: 'host-1',
  });
  const texts = () => memory.bodies('work').map(String);
  return { clock, memory, faults, writer, texts };
};

test('an append whose answer was lost stands once, and its writer learns that it is written', async (t) => {
  // The store does the append and its answer is lost on the way, so the host sends it again.
  // Without care a batch would stand twice, and its items would run twice.
  const { clock, faults, writer, texts } = newParts();
  faults.lostAnswers = 2;
  const outcome = writer.write([Buffer.from('a')], clock.now() + 5_000);
  await clock.advance(2_000);
  t.is(await outcome, 'written');
  t.deepEqual(texts(), ['a']);
});

test('an append that lands seconds after it was repeated stands once', async (t) => {
  // The first sending hangs somewhere on its way; the repetition is answered; then the first one
  // arrives after all.
  const { clock, memory, faults, writer, texts } = newParts();
  faults.lateAppends = 1;
  const outcome = writer.write([Buffer.from('a')], clock.now() + 5_000);
  await clock.advance(1_000);
  t.is(await outcome, 'written');
  const second = writer.write([Buffer.from('b')], clock.now() + 5_000);
  await clock.advance(100);
  t.is(await second, 'written');
  memory.landLate();
  t.deepEqual(texts(), ['a', 'b']);
});

test('what the store refused until its deadline is not written, then or later', async (t) => {
  // The store turns this host away for seconds. The caller is told that its batch is not kept and
  // sends it elsewhere; were it written later all the same, that answer would have been false.
  const { clock, faults, writer, texts } = newParts();
  faults.isRefusing = true;
  const outcome = writer.write([Buffer.from('a')], clock.now() + 900);
  await clock.advance(1_500);
  t.is(await outcome, 'not-written');
  faults.isRefusing = false;
  await clock.advance(2_000);
  t.deepEqual(texts(), []);
});

test('what may have landed is never called unwritten', async (t) => {
  // The store goes silent with an append under way and stays so beyond the caller's patience. The
  // append may be in the log, so the caller may not be told that it is not.
  const { clock, memory, faults, writer, texts } = newParts();
  faults.lateAppends = 1;
  const outcome = writer.write([Buffer.from('a')], clock.now() + 900);
  await clock.advance(10);
  faults.isSilent = true;
  await clock.advance(1_500);
  t.is(await outcome, 'unknown');
  memory.landLate();
  faults.isSilent = false;
  await clock.advance(2_000);
  t.deepEqual(texts(), ['a']);
});

/** Three writes in one group; the first is given up while the store refuses. */
const giveUpFirstOfThree = async () => {
  const parts = newParts();
  const { clock, faults, writer } = parts;
  const place = (text: string, lifeMs: number) =>
    writer.place([Buffer.from(text)], clock.now() + lifeMs);
  place('opening', 20_000);
  faults.isRefusing = true;
  const writes = [place('a', 500), place('b', 20_000), place('c', 20_000)];
  await clock.advance(1_000);
  faults.isRefusing = false;
  return { ...parts, writes };
};

test('a place is right though a write beside it was given up before the answer was lost', async (t) => {
  // The repetition held one record more: each place was one too high, and showed another text or none.
  const { clock, faults, texts, writes } = await giveUpFirstOfThree();
  faults.lostAnswers = 1;
  await clock.advance(2_000);
  t.deepEqual(texts(), ['opening', 'b', 'c']);
  t.deepEqual(await Promise.all(writes), [
    { outcome: 'not-written', offset: null },
    { outcome: 'written', offset: 1 },
    { outcome: 'written', offset: 2 },
  ]);
});

test('a write that was given up does not land with the repetition of those beside it', async (t) => {
  // Its caller was told that nothing runs and sent it elsewhere; it stood and ran after all.
  const { clock, memory, faults, texts, writes } = await giveUpFirstOfThree();
  faults.lateAppends = 1;
  await clock.advance(2_000);
  memory.landLate();
  const outcomes = (await Promise.all(writes)).map(({ outcome }) => outcome);
  t.deepEqual(outcomes, ['not-written', 'written', 'written']);
  t.deepEqual(texts(), ['opening', 'b', 'c']);
});

test('after an uncertain append the next one still follows in order', async (t) => {
  // A write that waits behind an uncertain one must not be lost or go first.
  const { clock, faults, writer, texts } = newParts();
  faults.isSilent = true;
  const first = writer.write([Buffer.from('a')], clock.now() + 500);
  await clock.advance(10);
  const second = writer.write([Buffer.from('b')], clock.now() + 9_000);
  await clock.advance(1_000);
  faults.isSilent = false;
  await clock.advance(1_000);
  t.is(await first, 'unknown');
  t.is(await second, 'written');
  t.deepEqual(texts(), ['a', 'b']);
});
