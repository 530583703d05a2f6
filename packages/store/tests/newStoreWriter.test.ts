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

test('an append whose answer was lost is stored once and reported as written', async (t) => {
  // The store executes an append and its answer is lost, so the host retries it. If the retry were
  // stored as well, a batch would exist twice and its items would run twice.
  const { clock, faults, writer, texts } = newParts();
  faults.answersToLose = 2;
  const outcome = writer.write([Buffer.from('a')], clock.now() + 5_000);
  await clock.advance(2_000);
  t.is(await outcome, 'written');
  t.deepEqual(texts(), ['a']);
});

test('an append that is executed seconds after its retry is stored once', async (t) => {
  // The first attempt is delayed in the network and the retry is answered. Then the store receives
  // the first attempt.
  const { clock, memory, faults, writer, texts } = newParts();
  faults.appendsToDelay = 1;
  const outcome = writer.write([Buffer.from('a')], clock.now() + 5_000);
  await clock.advance(1_000);
  t.is(await outcome, 'written');
  const second = writer.write([Buffer.from('b')], clock.now() + 5_000);
  await clock.advance(100);
  t.is(await second, 'written');
  memory.executeDelayedAppends();
  t.deepEqual(texts(), ['a', 'b']);
});

test('a write that the store refuses until its deadline is never written', async (t) => {
  // The store refuses this host for seconds. The caller is told that its batch was not written and
  // sends it to another host, so the batch must not be written here later.
  const { clock, faults, writer, texts } = newParts();
  faults.isRefusing = true;
  const outcome = writer.write([Buffer.from('a')], clock.now() + 900);
  await clock.advance(1_500);
  t.is(await outcome, 'not-written');
  faults.isRefusing = false;
  await clock.advance(2_000);
  t.deepEqual(texts(), []);
});

test('a write that may have been appended is never reported as not written', async (t) => {
  // The store becomes unresponsive during an append until after the caller's deadline. The append
  // may be in the log, so the caller must not be told that it was not written.
  const { clock, memory, faults, writer, texts } = newParts();
  faults.appendsToDelay = 1;
  const outcome = writer.write([Buffer.from('a')], clock.now() + 900);
  await clock.advance(10);
  faults.isUnresponsive = true;
  await clock.advance(1_500);
  t.is(await outcome, 'unknown');
  memory.executeDelayedAppends();
  faults.isUnresponsive = false;
  await clock.advance(2_000);
  t.deepEqual(texts(), ['a']);
});

/** Three writes in one group; the first one expires while the store refuses. */
const expireFirstOfThree = async () => {
  const parts = newParts();
  const { clock, faults, writer } = parts;
  const startWrite = (text: string, timeoutMs: number) =>
    writer.writeWithOffset([Buffer.from(text)], clock.now() + timeoutMs);
  startWrite('opening', 20_000);
  faults.isRefusing = true;
  const writes = [startWrite('a', 500), startWrite('b', 20_000), startWrite('c', 20_000)];
  await clock.advance(1_000);
  faults.isRefusing = false;
  return { ...parts, writes };
};

test('an offset is correct although a write of its group expired before the answer was lost', async (t) => {
  // If the retry held one record more than the stored append, each offset would be one too high, and
  // readers would get another text or none.
  const { clock, faults, texts, writes } = await expireFirstOfThree();
  faults.answersToLose = 1;
  await clock.advance(2_000);
  t.deepEqual(texts(), ['opening', 'b', 'c']);
  t.deepEqual(await Promise.all(writes), [
    { outcome: 'not-written', offset: null },
    { outcome: 'written', offset: 1 },
    { outcome: 'written', offset: 2 },
  ]);
});

test('an expired write is not appended when the rest of its group is retried', async (t) => {
  // The caller of the expired write was told that nothing runs and sent it to another host. If the
  // retry still contained the write, it would be stored and run here as well.
  const { clock, memory, faults, texts, writes } = await expireFirstOfThree();
  faults.appendsToDelay = 1;
  await clock.advance(2_000);
  memory.executeDelayedAppends();
  const outcomes = (await Promise.all(writes)).map(({ outcome }) => outcome);
  t.deepEqual(outcomes, ['not-written', 'written', 'written']);
  t.deepEqual(texts(), ['opening', 'b', 'c']);
});

test('a write queued behind an uncertain append is written after it', async (t) => {
  // A write that is queued behind an uncertain append must not be lost or overtake it.
  const { clock, faults, writer, texts } = newParts();
  faults.isUnresponsive = true;
  const first = writer.write([Buffer.from('a')], clock.now() + 500);
  await clock.advance(10);
  const second = writer.write([Buffer.from('b')], clock.now() + 9_000);
  await clock.advance(1_000);
  faults.isUnresponsive = false;
  await clock.advance(1_000);
  t.is(await first, 'unknown');
  t.is(await second, 'written');
  t.deepEqual(texts(), ['a', 'b']);
});

test('an append that the store refuses for good is given up, and others are written', async (t) => {
  // Guards against a topic to which nothing more is written: an append that got no answer once and is
  // then refused as too large was repeated for ever.
  const { clock, faults, writer, texts } = newParts();
  faults.answersToLose = 1;
  const tooLarge = writer.write([Buffer.alloc(300_000)], clock.now() + 5_000);
  const other = writer.write([Buffer.from('b')], clock.now() + 5_000);
  await clock.advance(2_000);
  t.is(await tooLarge, 'not-written');
  t.is(await other, 'written');
  t.deepEqual(texts(), ['b']);
});

test('records that are too many for one append are written in several', async (t) => {
  // Guards against a batch that is never accepted, since the store refuses its append.
  const { clock, memory, writer } = newParts();
  const records = Array.from({ length: 40 }, (_, index) => Buffer.alloc(200_000, String(index)));
  t.is(await writer.write(records, clock.now() + 5_000), 'written');
  t.deepEqual(memory.bodies('work'), records);
});

test('a write in several appends counts as written only if all of them are', async (t) => {
  // Guards against a batch that is said to be accepted though a part of it is missing.
  const { clock, faults, writer } = newParts();
  const records = Array.from({ length: 40 }, () => Buffer.alloc(200_000));
  const outcome = writer.write(records, clock.now() + 900);
  faults.isRefusing = true;
  await clock.advance(2_000);
  t.is(await outcome, 'not-written');
});

test('an append that fails by an error that no code expects costs only its own records', async (t) => {
  // Guards against a host that writes nothing any more: no append follows, and no caller is answered. The
  // store may have the records, so the next ones must not be taken for their repetition.
  const { clock, memory, writer, texts } = newParts();
  const view = memory.newView(newNoFaults());
  const { append } = view;
  let isBroken = true;
  view.append = async (...call) => {
    const answer = await append.call(view, ...call);
    if (isBroken) throw new Error('broken');
    return answer;
  };
  const broken = newStoreWriter({
    clock,
    log: silentLog,
    store: view,
    topic: 'work',
    producer: 'host-2',
  });
  t.is(await broken.write([Buffer.from('a')], clock.now() + 5_000), 'unknown');
  isBroken = false;
  t.is(await broken.write([Buffer.from('b')], clock.now() + 5_000), 'written');
  t.is(await writer.write([Buffer.from('c')], clock.now() + 5_000), 'written');
  t.deepEqual(texts(), ['a', 'b', 'c']);
});
