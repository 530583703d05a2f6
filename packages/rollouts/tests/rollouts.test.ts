import test from 'ava';
import { trainer, newBench, newPair, readPage, readAll, hasEachSlotOnce } from './rolloutBench.js';

// The trainer requests the same step from two processes, because the first one answered slowly.
// Both make all samples, but only one sample per slot may be delivered.
test('two processes that fill the same step bind each slot once', async (t) => {
  const { clock, one, two } = await newPair();
  Promise.all([one.run(), two.run()]).catch(() => undefined);
  await clock.advance(2_000);
  const first = await readAll(clock, one);
  const second = await readAll(clock, two);
  t.true(hasEachSlotOnce(first));
  t.deepEqual(first, second);
});

// The answer with the samples is lost and the trainer retries, possibly with another process.
test('the same cursor returns the same samples from either process', async (t) => {
  const { clock, one, two } = await newPair();
  one.run().catch(() => undefined);
  await clock.advance(2_000);
  const lost = await readPage(clock, one, 0);
  const again = await readPage(clock, two, 0);
  t.true(lost.ok && lost.val.payloads.length === 8);
  t.deepEqual(again, lost);
});

// The process that made the samples is killed after binding them and before the trainer read them.
test('a killed process loses no bound sample, since a peer has a copy', async (t) => {
  const { clock, one, two } = await newPair();
  one.run().catch(() => undefined);
  await clock.advance(450);
  one.kill();
  two.run().catch(() => undefined);
  const samples = await readAll(clock, two);
  t.true(hasEachSlotOnce(samples));
});

// Both hosts that hold a sample are replaced before the trainer read it. Without releasing its
// slot, the trainer would wait indefinitely or receive an empty page as a complete step.
test('a slot that lost both copies before it was offered is filled again', async (t) => {
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
  t.true(hasEachSlotOnce(await readAll(clock, three)));
});

// A new process does not know its peers yet and finds none of the holders of a step's samples.
test('a process that has just started considers no sample lost', async (t) => {
  const { clock, newHost, one } = await newPair();
  one.run().catch(() => undefined);
  await clock.advance(2_000);
  one.kill();
  const fresh = newHost('fresh', 'nafplio-b', []);
  await clock.advance(200);
  const page = await readPage(clock, fresh, 0);
  t.true(page.ok && page.val.payloads.length === 0 && !page.val.isComplete);
  t.is(fresh.metrics.readCounter('samples_released_lost'), 0);
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

// New weights are published while bound samples wait for a slow trainer, which would receive
// samples beyond its staleness bound.
test('samples that become stale before they are read are replaced, and the step completes', async (t) => {
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
  t.true(hasEachSlotOnce(samples));
  t.true(samples.every(({ segments }) => segments.every(({ version }) => version >= 2)));
});

// A host has not read the publication of the newest weights yet when a trainer requests samples.
test('a host with an old view cannot deliver a sample that has become stale', async (t) => {
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

// The log is unavailable for 30 seconds during a step.
test('an outage of the log delays a step, and each slot is delivered once', async (t) => {
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
  log.chooseOutcome = () => (log.records.length % 2 === 0 ? 'answer-lost' : 'lands');
  t.true(hasEachSlotOnce(await readAll(clock, two)));
});

// Two samples take 40 s each while the others take 0.1 s, so the trainer would wait for them.
test('stragglers are covered by late copies within the budget', async (t) => {
  const { clock, newHost } = newBench();
  const one = newHost('one', 'argos-c');
  one.maker.slowCalls = new Set([2, 5]);
  await clock.advance(100);
  one.run().catch(() => undefined);
  await clock.advance(3_000);
  const page = await readPage(clock, one, 0);
  t.true(page.ok && page.val.isComplete);
  t.is(one.metrics.readCounter('samples_late_copies'), 2);
  t.is(one.maker.made, 10);
});
