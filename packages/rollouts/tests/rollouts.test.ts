import test from 'ava';
import { trainer, newBench, newPair, readPage, readAll, isEachSlotOnce } from './rolloutBench.js';

// The trainer asks two processes for the same step, since the first one was slow to answer. Both make
// all samples; the naive way delivers both.
test('two processes that fill the same step bind each slot once', async (t) => {
  const { clock, one, two } = await newPair();
  Promise.all([one.run(), two.run()]).catch(() => undefined);
  await clock.advance(2_000);
  const first = await readAll(clock, one);
  const second = await readAll(clock, two);
  t.true(isEachSlotOnce(first));
  t.deepEqual(first, second);
});

// The answer with the samples is lost on its way and the trainer asks again, perhaps elsewhere.
test('the same cursor gives the same samples again, from either process', async (t) => {
  const { clock, one, two } = await newPair();
  one.run().catch(() => undefined);
  await clock.advance(2_000);
  const lost = await readPage(clock, one, 0);
  const again = await readPage(clock, two, 0);
  t.true(lost.ok && lost.val.payloads.length === 8);
  t.deepEqual(again, lost);
});

// The process that made the samples is killed after it bound them and before anybody read them.
test('a killed process loses no bound sample, its copy is elsewhere', async (t) => {
  const { clock, one, two } = await newPair();
  one.run().catch(() => undefined);
  await clock.advance(450);
  one.kill();
  two.run().catch(() => undefined);
  const samples = await readAll(clock, two);
  t.true(isEachSlotOnce(samples));
});

// Both hosts that hold a sample are replaced before the trainer read it. The trainer would wait for
// ever, or get an empty page for a whole one.
test('a slot that lost both copies before it was offered is made anew', async (t) => {
  const { clock, newHost, one, two } = await newPair();
  one.run().catch(() => undefined);
  await clock.advance(2_000);
  one.kill();
  two.kill();
  const three = newHost('three', 'nafplio-b');
  await clock.advance(200);
  const first = await readPage(clock, three, 0);
  t.true(first.ok && first.val.payloads.length === 0 && !first.val.isComplete);
  three.run().catch(() => undefined);
  t.true(isEachSlotOnce(await readAll(clock, three)));
});

// A new process does not know its peers yet and finds none of the holders of a step's samples.
test('a process that has just started takes no sample for lost', async (t) => {
  const { clock, newHost, one } = await newPair();
  one.run().catch(() => undefined);
  await clock.advance(2_000);
  one.kill();
  const fresh = newHost('fresh', 'nafplio-b', []);
  await clock.advance(200);
  const page = await readPage(clock, fresh, 0);
  t.true(page.ok && page.val.payloads.length === 0 && !page.val.isComplete);
  t.is(fresh.metrics.counted('samples_released_lost'), 0);
  t.is(fresh.follower.state().trainers.tone?.steps[1]?.offered, 0);
});

test('a sample that was offered and then lost is reported as lost, never replaced', async (t) => {
  const { clock, newHost } = newBench();
  const one = newHost('one', 'argos-c');
  await clock.advance(100);
  one.run().catch(() => undefined);
  await clock.advance(2_000);
  t.true((await readPage(clock, one, 0)).ok);
  one.kill();
  const two = newHost('two', 'nafplio-a');
  await clock.advance(200);
  two.run().catch(() => undefined);
  const page = await readPage(clock, two, 0);
  t.is(page.ok ? '' : page.val, 'lost');
  t.is(two.maker.made, 0);
});

// New weights come out while bound samples wait for a slow trainer. It would train on answers that
// are older than it allows.
test('samples that age out before they are read are made anew, and the step still ends', async (t) => {
  const { clock, newHost, publish } = newBench();
  const one = newHost('one', 'argos-c');
  await clock.advance(100);
  one.run().catch(() => undefined);
  await clock.advance(2_000);
  publish(2);
  publish(3);
  one.maker.version = 3;
  await clock.advance(200);
  const stale = await readPage(clock, one, 0);
  t.true(stale.ok && stale.val.payloads.length === 0);
  one.run().catch(() => undefined);
  const samples = await readAll(clock, one);
  t.true(isEachSlotOnce(samples));
  t.true(samples.every(({ segments }) => segments.every(({ version }) => version >= 2)));
});

// One host has not seen the newest weights yet when it is asked for samples.
test('a host with an old view can not deliver a sample that has grown too old', async (t) => {
  const { log, clock, newHost, publish } = newBench();
  const one = newHost('one', 'argos-c');
  await clock.advance(100);
  one.run().catch(() => undefined);
  await clock.advance(2_000);
  const reading = one.readSamples(trainer, 1, 0);
  publish(2);
  publish(3);
  await clock.advance(1_000);
  const page = await reading;
  t.false(page.ok);
  t.is(one.follower.state().trainers.tone?.steps[1]?.offered, 0);
  t.true(log.records.length > 0);
});

// The log is out for a long time in the middle of a step.
test('through an outage of the log a step is late, and each slot comes once', async (t) => {
  const { log, clock, newHost } = newBench();
  const one = newHost('one', 'argos-c');
  const two = newHost('two', 'nafplio-a');
  await clock.advance(100);
  Promise.all([one.run(), two.run()]).catch(() => undefined);
  await clock.advance(50);
  log.isDown = true;
  await clock.advance(30_000);
  const during = await readPage(clock, one, 0);
  t.true(during.ok && during.val.payloads.length === 0);
  log.isDown = false;
  log.fate = () => (log.records.length % 2 === 0 ? 'answer-lost' : 'lands');
  t.true(isEachSlotOnce(await readAll(clock, two)));
});

// Some samples take forty seconds where the others take a tenth of one, and the trainer idles.
test('stragglers are covered by late copies within the budget', async (t) => {
  const { clock, newHost } = newBench();
  const one = newHost('one', 'argos-c');
  one.maker.slowCalls = new Set([2, 5]);
  await clock.advance(100);
  one.run().catch(() => undefined);
  await clock.advance(3_000);
  const page = await readPage(clock, one, 0);
  t.true(page.ok && page.val.isComplete);
  t.is(one.metrics.counted('samples_late_copies'), 2);
  t.is(one.maker.made, 10);
});
