import { newManualClock } from '@cyclamengate/fakes/newManualClock';
import test from 'ava';
import newLoads from '../src/newLoads.js';
import newPaces from '../src/newPaces.js';
import { newEntry } from './helpers.js';

const SAMPLE_GAP_MS = 105;

const newFixture = () => {
  const clock = newManualClock();
  const loads = newLoads(clock);
  const unlisted = new Set<string>();
  const paces = newPaces({ clock, loads, isListed: ({ id }) => !unlisted.has(id) });
  /** One unit of work at each upstream, `count` times in a row. */
  const work = (count: number, durations: Record<string, number>, kind = 'event'): void => {
    for (let round = 0; round < count; round += 1) {
      clock.jump(SAMPLE_GAP_MS);
      Object.entries(durations).forEach(([id, ms]) => paces.record(newEntry(id), kind, ms));
    }
  };
  const report = (id: string, pace: number | null): void =>
    loads.report(id, { running: 1, waiting: 0, slots: 8, pace });
  const paceOf = (id: string): number => Number(paces.describe(newEntry(id)).pace.toFixed(2));
  const lastingPaceOf = (id: string): number => paces.describe(newEntry(id)).lastingPace;
  return { clock, paces, work, report, paceOf, lastingPaceOf, unlisted };
};

test('an upstream that happened to get the long calls of a service is not taken for slow', (t) => {
  // Callers' lookups take 25 ms and scoring calls 200 ms. One upstream got only scoring calls.
  const { work, paceOf } = newFixture();
  for (let round = 0; round < 10; round += 1) {
    work(1, { a: 25, b: 26 }, 'lookup');
    work(1, { b: 200, long: 205 }, 'scoring');
  }
  t.deepEqual(['a', 'b', 'long'].map(paceOf), [1, 1, 1]);
});

test('a slow upstream of a service with short and long calls is seen, whatever it gets', (t) => {
  const { work, paceOf } = newFixture();
  for (let round = 0; round < 10; round += 1) {
    work(1, { a: 25, b: 26, slow: 60 }, 'lookup');
    work(1, { a: 200, b: 205 }, 'scoring');
  }
  t.deepEqual(['a', 'b'].map(paceOf), [1, 1]);
  t.true(paceOf('slow') > 2);
});

test('every fourth engine is twice as fast for good, also after it had no work for a while', async (t) => {
  const { clock, work, paceOf } = newFixture();
  work(8, { a: 64, b: 64, c: 64, fast: 29 });
  t.deepEqual(['a', 'b', 'c', 'fast'].map(paceOf), [1, 1, 1, 0.45]);
  await clock.advance(60_000);
  t.is(paceOf('fast'), 0.45);
});

test("a neighbour's noise is seen at once and forgotten within a second", async (t) => {
  // Work takes 2.5 times as long for half a second. New work should go elsewhere, and come back.
  const { clock, work, report, paceOf, lastingPaceOf } = newFixture();
  work(15, { a: 35, b: 35, noisy: 35 });
  report('noisy', 2.5);
  t.is(paceOf('noisy'), 2.5);
  work(5, { a: 35, b: 35, noisy: 88 });
  t.is(lastingPaceOf('noisy'), 1, 'what runs there need not move');
  await clock.advance(200);
  t.is(paceOf('noisy'), 1);
  report('noisy', 2.5);
  await clock.advance(100);
  report('noisy', 1);
  t.is(paceOf('noisy'), 1, 'a newer report counts at once');
});

test('noise that an engine does not report moves none of its many streams', (t) => {
  // Its streams give an event every 11 ms together, so half a second of noise gives 45 late ones.
  const { clock, paces, work, lastingPaceOf } = newFixture();
  work(15, { a: 35, b: 35, noisy: 35 });
  for (let count = 0; count < 45; count += 1) {
    clock.jump(11);
    paces.record(newEntry('noisy'), 'event', 88);
    t.is(lastingPaceOf('noisy'), 1);
  }
});

test('work that was measured during a reported slowdown tells of the usual pace', (t) => {
  // A burst of calls goes to an upstream while its neighbour is busy.
  const { clock, paces, report, lastingPaceOf } = newFixture();
  for (let round = 0; round < 10; round += 1) {
    clock.jump(SAMPLE_GAP_MS);
    report('noisy', 2.5);
    paces.record(newEntry('a'), 'call', 25);
    paces.record(newEntry('b'), 'call', 25);
    paces.record(newEntry('noisy'), 'call', 62.5);
  }
  t.is(lastingPaceOf('noisy'), 1);
});

test('one late event does not make an engine look slow', (t) => {
  // A stream pauses once while its engine reads a long prompt. If the engine counted as slow, its
  // items would be moved, each at the cost of a new connection and of processing its text again.
  const { work, paceOf } = newFixture();
  work(2, { a: 45, b: 45, c: 45 });
  work(1, { a: 600, b: 45, c: 45 });
  work(2, { a: 45, b: 45, c: 45 });
  t.is(paceOf('a'), 1);
});

test('a slow engine is detected within eight events and tried again after eight seconds', async (t) => {
  const { clock, work, paceOf } = newFixture();
  work(15, { a: 45, b: 45, slow: 45 });
  work(8, { a: 45, b: 45, slow: 150 });
  t.is(paceOf('slow'), 3.33);
  await clock.advance(7_500);
  t.is(paceOf('slow'), 3.33);
  await clock.advance(1_000);
  t.is(paceOf('slow'), 1, 'it is tried again');
});

test('an upstream that was slow for eight seconds is not shunned when it is tried again', async (t) => {
  const { clock, work, paceOf } = newFixture();
  work(80, { a: 45, b: 45, c: 45, slow: 150 });
  t.is(paceOf('slow'), 3.33);
  await clock.advance(8_500);
  work(10, { a: 45, b: 45, c: 45, slow: 45 });
  t.is(paceOf('slow'), 1);
});

test('an engine that is still slow when it is tried again is seen within five events', async (t) => {
  const { clock, work, paceOf } = newFixture();
  work(15, { a: 45, b: 45, slow: 150 });
  await clock.advance(8_500);
  work(5, { a: 45, b: 45, slow: 150 });
  await clock.advance(200);
  t.is(paceOf('slow'), 3.33);
});

test('while a slow engine is tried again this host uses it, and others keep its pace', async (t) => {
  // Two hosts measured it. Guards against one that believes the other, so that nobody tries it, and
  // against an engine that gets and loses its models every eight seconds.
  const { clock, paces, work, paceOf } = newFixture();
  work(15, { a: 45, b: 45, slow: 150 });
  paces.setSharedPaces(() => new Map([['slow', 3.3]]));
  await clock.advance(8_500);
  work(3, { a: 45, b: 45, slow: 150 });
  await clock.advance(200);
  t.is(paceOf('slow'), 1);
  t.deepEqual(paces.unusual(), { slow: 3.3 });
  work(15, { a: 45, b: 45, slow: 45 });
  t.deepEqual(paces.unusual(), {});
});

test('the pace is unknown with too few events', (t) => {
  const { work, paceOf } = newFixture();
  work(4, { a: 45, b: 45, c: 400 });
  t.is(paceOf('c'), 1);
});

test('a call that waited in its upstream tells nothing of its pace', (t) => {
  // A burst waits at one upstream. Taken for slow it would be shunned for eight seconds, long after
  // the burst is over.
  const { clock, paces, paceOf } = newFixture();
  for (let round = 0; round < 15; round += 1) {
    clock.jump(SAMPLE_GAP_MS);
    ['a', 'b'].forEach((id) => paces.record(newEntry(id), 'lookup', 25));
    paces.record(newEntry('queued'), 'lookup', round < 5 ? 25 : 180, round >= 5);
  }
  t.is(paceOf('queued'), 1);
});

test('an upstream that starts again under its id has no pace yet', (t) => {
  const { paces, work, unlisted, paceOf } = newFixture();
  work(8, { a: 45, b: 45, slow: 150 });
  paces.remove(newEntry('slow'));
  unlisted.add('slow');
  t.is(paceOf('slow'), 1);
  // A stream of the incarnation that has ended gets its last events late.
  work(8, { a: 45, b: 45, slow: 150 });
  t.is(paceOf('slow'), 1);
});

test('upstreams of equal speed have one pace, and nothing is shared', (t) => {
  // Slots in use make an engine up to a fifth slower. If that decided anything, choices would differ
  // from those by load, and heartbeats would grow.
  const { paces, work } = newFixture();
  work(20, { a: 35, b: 38, c: 42, d: 33 });
  ['a', 'b', 'c', 'd'].forEach((id) =>
    t.deepEqual(paces.describe(newEntry(id)), { pace: 1, lastingPace: 1 }),
  );
  t.deepEqual(paces.unusual(), {});
});

test('engines that are a third slower get less, and heartbeats do not grow by them', (t) => {
  // Guards against the longest items of a step that start on such an engine while others are free.
  const { paces, work } = newFixture();
  work(20, { a: 35, b: 35, slower: 46 });
  t.is(Number(paces.describe(newEntry('slower')).pace.toFixed(2)), 1.31);
  t.deepEqual(paces.unusual(), {});
});

test('a host shares what it measured as unusual, and uses what others share of the rest', async (t) => {
  const { clock, paces, work, paceOf } = newFixture();
  work(8, { a: 64, b: 64, fast: 29 });
  t.deepEqual(paces.unusual(), { fast: 0.5 });
  t.is(paces.countFast(), 1);
  paces.setSharedPaces(
    () =>
      new Map([
        ['fast', 2],
        ['unmeasured', 3],
      ]),
  );
  t.deepEqual(['fast', 'unmeasured', 'unknown'].map(paceOf), [0.45, 3, 1]);
  work(8, { a: 64, b: 64, slow: 150 });
  t.deepEqual(paces.unusual(), { fast: 0.5, slow: 2.3 });
  t.is(paces.countSlow(), 1);
  await clock.advance(31_000);
  t.deepEqual(paces.unusual(), { fast: 0.5 }, 'a slow one that nobody uses is not shared for ever');
});

test('a host that uses a fast and a common engine takes neither for slow', (t) => {
  // It can't tell by itself which of the two is unusual, but other hosts agree on it.
  const { paces, work, paceOf } = newFixture();
  paces.setSharedPaces(() => new Map([['fast', 0.5]]));
  work(8, { common: 64, fast: 29 });
  t.deepEqual(['common', 'fast'].map(paceOf), [1, 0.5]);
  t.deepEqual(paces.unusual(), {}, 'two are too few to be sure');
});

test('the expected time of a call is that of its kind at its upstream', (t) => {
  const { paces, work, report } = newFixture();
  t.is(paces.expectedMs(newEntry('a'), 'lookup'), null);
  for (let round = 0; round < 12; round += 1) {
    work(1, { a: 25, b: 25, slow: 75 }, 'lookup');
    work(1, { a: 200, b: 200 }, 'scoring');
  }
  t.is(paces.expectedMs(newEntry('a'), 'lookup'), 25);
  t.is(paces.expectedMs(newEntry('slow'), 'lookup'), 75);
  t.is(paces.expectedMs(newEntry('b'), 'scoring'), 200);
  report('b', 2);
  t.is(paces.expectedMs(newEntry('b'), 'lookup'), 50);
});
