import { newManualClock } from '@cyclamengate/fakes/newManualClock';
import test from 'ava';
import { newPlainHosts, percentile99, repeat, SLOTS } from './newPlainHosts.js';

const isAnswered = ({ outcome }: { outcome: { type: string } }): boolean =>
  outcome.type === 'answer';

test('one customer at ten times its share leaves the others as they are alone', async (t) => {
  // Guards against a burst of one customer that takes all places before others' requests.
  const clock = newManualClock();
  const host = newPlainHosts(clock, 2).newHost('a');
  const until = clock.now() + 3_000;
  const large = repeat(clock, 1_000 / 300, until, () =>
    host.call({ customer: 'large', workMs: 50, timeoutMs: 1_000 }),
  );
  const small = Promise.all(
    Array.from({ length: 7 }, async (_, index) => {
      await clock.sleepUntil(clock.now() + 300 + index * 31);
      return repeat(clock, 250, until, () => host.call({ customer: `small${index}`, workMs: 50 }));
    }),
  );
  await clock.advance(5_000);
  const results = (await small).flat();
  const largeResults = await large;
  t.true(results.every(isAnswered));
  t.true(percentile99(results.map(({ tookMs }) => tookMs)) <= 55);
  t.true(largeResults.filter(isAnswered).length >= 0.6 * largeResults.length);
});

test("a batch's scoring calls stand beside callers' lookups, and use what they leave", async (t) => {
  // Guards against a batch whose scoring calls take all places, and against places that stand empty
  // while scoring calls wait.
  const clock = newManualClock();
  const system = newPlainHosts(clock, 4);
  const batchHost = system.newHost('a');
  const others = ['b', 'c'].map(system.newHost);
  const until = clock.now() + 1_500;
  const lookups = Promise.all(
    others.map(async (host, index) => {
      await clock.sleepUntil(clock.now() + index * 7);
      return repeat(clock, 17, until, () => host.call({ customer: 'museum', workMs: 25 }));
    }),
  );
  await clock.advance(200);
  let waiting = 150;
  const scores = Promise.all(
    Array.from({ length: 150 }, (_, index) =>
      batchHost.score({ customer: 'trainer', workMs: index % 4 === 0 ? 200 : 40 }, () => {
        waiting -= 1;
      }),
    ),
  );
  const idle: number[] = [];
  while (waiting > 0 && idle.length < 1_500) {
    if (idle.length % 500 === 0) [batchHost, ...others].forEach(({ beat }) => beat());
    await clock.advance(1);
    idle.push(4 * SLOTS - system.countRunning());
  }
  await clock.advance(2_000);
  const results = (await lookups).flat();
  t.true(results.every(isAnswered));
  t.true(percentile99(results.map(({ tookMs }) => tookMs)) <= 27.5);
  t.true((await scores).every(({ ok }) => ok));
  const reserve = 4 * Math.round(SLOTS * 0.25);
  t.true(idle.reduce((sum, count) => sum + count, 0) / idle.length <= reserve + 1);
});
