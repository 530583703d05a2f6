import { newManualClock } from '@cyclamengate/fakes/newManualClock';
import test from 'ava';
import findMoves from '../src/findMoves.js';
import newRefusals from '../src/newRefusals.js';
import planMoves from '../src/planMoves.js';
import planStarts from '../src/planStarts.js';
import type { WaitingItem } from '../src/planStarts.js';
import { newCandidate } from './helpers.js';

const waiting = (key: string, changes: Partial<WaitingItem> = {}): WaitingItem => ({
  key,
  model: 'x',
  minVersion: 1,
  requiredVersion: null,
  expectedTokens: 600,
  startBy: 1_000,
  turn: changes.startBy ?? 1_000,
  isWanted: true,
  isLate: false,
  avoidedUpstream: null,
  reservedUpstream: null,
  ...changes,
});

const never = (): boolean => false;
const zeroRandom = (): number => 0;

test('the longest items start first when slots are scarce', (t) => {
  // Thirty items wait for eight slots. A step is complete when its slowest item is; if the longest
  // item started last, it would end long after all others.
  const items = [
    waiting('short', { expectedTokens: 100 }),
    waiting('long', { expectedTokens: 9_000 }),
  ];
  const starts = planStarts(items, [newCandidate('a', { load: 7 })], never, zeroRandom);
  t.deepEqual(
    starts.map(({ key }) => key),
    ['long'],
  );
});

test('the items with the least time to spare start first, across trainers', (t) => {
  // Two trainers share engines. Ordered by length alone, the short items of the earlier step would
  // wait for the long ones of the later step and be late.
  const items = [
    waiting('later', { startBy: 3_000, expectedTokens: 900 }),
    waiting('middle', { startBy: 2_000 }),
    waiting('earlier', { startBy: 500, expectedTokens: 10 }),
  ];
  const starts = planStarts(items, [newCandidate('a', { load: 5 })], never, zeroRandom);
  t.deepEqual(
    starts.map(({ key }) => key),
    ['earlier', 'middle', 'later'],
  );
});

test('items that are not wanted or are late in any case come last but are run', (t) => {
  // A trainer has all the groups that it waits for, and a group of another one can't be complete in
  // time. Their items took the slots of groups that could still be.
  const items = [
    waiting('not wanted', { isWanted: false, startBy: 0 }),
    waiting('late', { isLate: true, startBy: 0 }),
    waiting('in time', { startBy: 9_000 }),
  ];
  const startOn = (load: number): string[] =>
    planStarts(items, [newCandidate('a', { load })], never, zeroRandom).map(({ key }) => key);
  t.deepEqual(startOn(7), ['in time']);
  t.deepEqual(startOn(5), ['in time', 'late', 'not wanted']);
});

test('the last slots of a fast engine go to the longest items', (t) => {
  // The short item is due sooner and would take the fast slot. The long one is late elsewhere.
  const engines = [
    newCandidate('fast', { pace: 0.45, load: 7 }),
    newCandidate('usual', { load: 0, isOwnDomain: false }),
  ];
  const items = [
    waiting('short', { startBy: 100, expectedTokens: 200 }),
    waiting('long', { startBy: 900, expectedTokens: 8_000 }),
  ];
  const places = planStarts(items, engines, never, zeroRandom).map(
    ({ key, candidate }) => `${key} on ${candidate.entry.id}`,
  );
  t.deepEqual(places, ['short on usual', 'long on fast']);
});

test('a short item takes a fast slot that no longer item waits for', (t) => {
  const engines = [
    newCandidate('fast', { pace: 0.45, load: 6 }),
    newCandidate('full', { load: 8 }),
  ];
  t.is(planStarts([waiting('short')], engines, never)[0]?.candidate.entry.id, 'fast');
});

test('a moved item starts on the slot that was held for it, before all others', (t) => {
  // The slot counts as taken until then; without it the item would wait after it was broken off.
  const items = [waiting('other', { startBy: 0 }), waiting('moved', { reservedUpstream: 'a' })];
  const starts = planStarts(items, [newCandidate('a', { load: 8 })], never, zeroRandom);
  t.deepEqual(
    starts.map(({ key }) => key),
    ['moved'],
  );
});

test('no item starts on weights that its trainer no longer allows', (t) => {
  // The trainer is at version 3 and accepts version 2 at the oldest; one engine still has version
  // 1.
  const stale = newCandidate('stale', {}, { models: [{ model: 'x', version: 1 }] });
  t.deepEqual(planStarts([waiting('a', { minVersion: 2 })], [stale], never), []);
  const fresh = newCandidate('fresh', { load: 7 }, { models: [{ model: 'x', version: 2 }] });
  const starts = planStarts([waiting('a', { minVersion: 2 })], [stale, fresh], never);
  t.is(starts[0]?.candidate.entry.id, 'fresh');
});

test('an engine that loads a model gets no items of that model for a while', async (t) => {
  // It refuses these items until the load is complete. Without a backoff, all waiting items would
  // be sent to it again and again.
  const clock = newManualClock();
  const refusals = newRefusals(clock);
  refusals.record('a', 'x');
  const candidates = [newCandidate('a')];
  t.deepEqual(planStarts([waiting('1')], candidates, refusals.isRefusing), []);
  t.is(
    planStarts([waiting('1', { model: 'y', minVersion: 0 })], candidates, refusals.isRefusing)
      .length,
    1,
  );
  await clock.advance(250);
  t.is(planStarts([waiting('1')], candidates, refusals.isRefusing).length, 1);
});

test('after a refusal one item tries the engine before others follow', async (t) => {
  // An engine with six free slots refused six items each time that its pause was over, until its
  // load was complete.
  const clock = newManualClock();
  const refusals = newRefusals(clock);
  const tryAll = (): number =>
    Array.from({ length: 6 }).filter(() => refusals.mayStart('a', 'x')).length;
  t.is(tryAll(), 6, 'nothing is held back before the first refusal');
  refusals.record('a', 'x');
  t.is(tryAll(), 0);
  await clock.advance(250);
  t.is(tryAll(), 1);
  refusals.clear('a', 'x');
  t.is(tryAll(), 6);
});

test('an item is not retried on the engine that failed it while another engine is available', (t) => {
  const items = [waiting('1', { avoidedUpstream: 'a' })];
  const starts = planStarts(items, [newCandidate('a'), newCandidate('b', { load: 6 })], never);
  t.is(starts[0]?.candidate.entry.id, 'b');
  t.is(planStarts(items, [newCandidate('a')], never)[0]?.candidate.entry.id, 'a');
});

test('a burst that fits into the free slots starts at once, spread over the engines', (t) => {
  // 48 items of a step arrive for six idle engines of eight slots. Sent to the engine with the
  // lowest reported load, most would queue on one engine.
  const items = Array.from({ length: 48 }, (_, index) => waiting(String(index)));
  const engines = ['a', 'b', 'c', 'd', 'e', 'f'].map((id) => newCandidate(id));
  const starts = planStarts(items, engines, never);
  t.is(starts.length, 48);
  const counts = engines.map(
    ({ entry }) => starts.filter(({ candidate }) => candidate.entry.id === entry.id).length,
  );
  t.deepEqual(counts, [8, 8, 8, 8, 8, 8]);
});

test('long items move away from a slow engine as far as other engines have free slots', (t) => {
  // One engine of three becomes four times slower without reporting it. Its items would end long
  // after their step is due.
  const candidates = [
    newCandidate('slow', { lastingPace: 4, load: 3 }),
    newCandidate('a', { load: 7 }),
    newCandidate('b', { load: 7 }),
  ];
  const running = [
    { key: 'long', upstream: 'slow', expectedTokens: 4_000 },
    { key: 'middle', upstream: 'slow', expectedTokens: 900 },
    { key: 'longer', upstream: 'slow', expectedTokens: 6_000 },
    { key: 'nearly done', upstream: 'slow', expectedTokens: 60 },
    { key: 'elsewhere', upstream: 'a', expectedTokens: 6_000 },
  ];
  t.deepEqual(
    findMoves(running, candidates, never).map(({ key }) => key),
    ['longer', 'long'],
  );
});

test('items move away from an engine that is draining', (t) => {
  const running = [{ key: 'one', upstream: 'leaving', expectedTokens: 900 }];
  const moves = findMoves(running, [newCandidate('a')], (id) => id === 'leaving');
  t.is(moves.length, 1);
});

test("items of one service are not moved because of another service's engines", (t) => {
  // Two services run models. Compared with the engines of the other service, each item appeared to
  // run on a draining engine and was interrupted once a second.
  const engines: Record<string, string> = { small: 'a', large: 'b' };
  const running = Object.entries(engines).map(([service, upstream]) => ({
    key: service,
    upstream,
    expectedTokens: 900,
    service,
  }));
  const getCandidates = (service: string) => [newCandidate(engines[service] ?? '')];
  t.deepEqual(
    planMoves(running, getCandidates, () => true),
    [],
  );
});

test('no item moves while all engines are equally slow', (t) => {
  const candidates = [
    newCandidate('a', { lastingPace: 4 }),
    newCandidate('b', { lastingPace: 4.3 }),
  ];
  const running = [{ key: 'one', upstream: 'b', expectedTokens: 900 }];
  t.deepEqual(findMoves(running, candidates, never), []);
});

test('the longest items of a step go to the fast engines, and no fast slot stays free', (t) => {
  // Every fourth engine is twice as fast as the others. A step is complete when its longest item is.
  const engines = ['a', 'b', 'c', 'fast'].map((id) =>
    newCandidate(id, id === 'fast' ? { pace: 0.46, lastingPace: 0.46 } : {}),
  );
  const items = Array.from({ length: 20 }, (_, index) =>
    waiting(String(index), { expectedTokens: 100 * (index + 1) }),
  );
  const starts = planStarts(items, engines, never, zeroRandom);
  t.is(starts.length, 20);
  const onFast = starts.filter(({ candidate }) => candidate.entry.id === 'fast');
  t.deepEqual(
    onFast.map(({ key }) => Number(key)),
    [19, 18, 17, 16, 15, 14, 13, 12],
  );
});

test('all engines work while items wait, slow and noisy ones too', (t) => {
  // Guards against slots that stay free because their engine is not the best one.
  const engines = [
    newCandidate('fast', { pace: 0.46, lastingPace: 0.46 }),
    newCandidate('noisy', { pace: 2.5 }),
    newCandidate('slow', { pace: 4, lastingPace: 4 }),
  ];
  const items = Array.from({ length: 30 }, (_, index) => waiting(String(index)));
  t.is(planStarts(items, engines, never, zeroRandom).length, 24);
});

test("items stay where they are during a neighbour's noise", (t) => {
  // The noise is over after half a second, before a move to another engine has paid.
  const candidates = [newCandidate('noisy', { pace: 2.5, load: 3 }), newCandidate('a')];
  const running = [{ key: 'one', upstream: 'noisy', expectedTokens: 4_000 }];
  t.deepEqual(findMoves(running, candidates, never), []);
});
