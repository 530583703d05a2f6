import test from 'ava';
import findFasterMoves from '../src/findFasterMoves.js';
import type { MovableItem } from '../src/findFasterMoves.js';
import type { WaitingItem } from '../src/planStarts.js';
import { newCandidate } from './helpers.js';

const NOW = 1_000;

const never = (): boolean => false;
const zeroRandom = (): number => 0;

const running = (key: string, changes: Partial<MovableItem> = {}): MovableItem => ({
  key,
  upstream: 'usual',
  model: 'x',
  minVersion: 1,
  requiredVersion: null,
  expectedTokens: 4_000,
  startBy: NOW,
  isWanted: true,
  isLate: false,
  ...changes,
});

const waiting = (key: string, expectedTokens: number): WaitingItem => ({
  ...running(key, { expectedTokens }),
  turn: NOW,
  avoidedUpstream: null,
  reservedUpstream: null,
});

const usual = newCandidate('usual', { load: 6 });
const newFast = (free: number, id = 'fast') =>
  newCandidate(id, { lastingPace: 0.46, load: 8 - free });

test('the longest items move to a much faster engine as far as it has free slots', (t) => {
  // An item that has turned out long stayed on a slow engine while slots twice as fast were free.
  const items = [
    running('long'),
    running('longest', { expectedTokens: 6_000 }),
    running('third', { expectedTokens: 3_000 }),
    running('nearly done', { expectedTokens: 300 }),
    running('in time anyhow', { startBy: NOW + 3_000 }),
  ];
  const move = (free: number): string[] =>
    findFasterMoves(NOW, items, [], [usual, newFast(free)], never, zeroRandom).map(
      ({ key }) => key,
    );
  t.deepEqual(move(2), ['longest', 'long']);
  t.deepEqual(move(8), ['longest', 'long', 'third']);
  t.deepEqual(move(0), []);
});

test('nothing moves where paces are alike, and an item that has moved does not move back', (t) => {
  const alike = [
    usual,
    newCandidate('other', { lastingPace: 0.8 }),
    newCandidate('slower', { lastingPace: 1.2 }),
  ];
  t.deepEqual(findFasterMoves(NOW, [running('a')], [], alike, never), []);
  const moved = running('a', { upstream: 'fast' });
  for (const noise of [0.7, 1, 1.3]) {
    const engines = [
      { ...usual, load: 0 },
      { ...newFast(0), lastingPace: 0.46 * noise },
    ];
    t.deepEqual(findFasterMoves(NOW, [moved], [], engines, never), []);
  }
});

test('a waiting item that is longer gets the fast slot', (t) => {
  const engines = [usual, newFast(1)];
  t.deepEqual(findFasterMoves(NOW, [running('a')], [waiting('b', 5_000)], engines, never), []);
  t.is(findFasterMoves(NOW, [running('a')], [waiting('b', 500)], engines, never).length, 1);
});

test('items that are not wanted, late, or not allowed there stay', (t) => {
  const items = [
    running('not wanted', { isWanted: false }),
    running('late', { isLate: true }),
    running('newer version', { minVersion: 2 }),
  ];
  t.deepEqual(findFasterMoves(NOW, items, [], [usual, newFast(8)], never), []);
  t.deepEqual(
    findFasterMoves(NOW, [running('a')], [], [usual, newFast(8)], () => true),
    [],
  );
});

test('hosts that plan at once choose different ones of equal engines', (t) => {
  const engines = [usual, newFast(8, 'fast-1'), newFast(8, 'fast-2'), newFast(8, 'fast-3')];
  const targets = [0, 0.4, 0.9].map(
    (random) => findFasterMoves(NOW, [running('a')], [], engines, never, () => random)[0]?.target,
  );
  t.deepEqual(targets, ['fast-1', 'fast-2', 'fast-3']);
});
