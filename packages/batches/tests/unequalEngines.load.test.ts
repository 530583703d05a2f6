import test from 'ava';
import playSteps from './playSteps.js';
import type { Parts, Trainer } from './playSteps.js';

const ENGINES = 20;
const STEPS = 5;
const SEEDS = [1, 2, 3];
const none: Parts = { isAssigned: false, isOrdered: false, hasMoves: false };
const assigned: Parts = { ...none, isAssigned: true };
const ordered: Parts = { ...assigned, isOrdered: true };
const all: Parts = { ...ordered, hasMoves: true };

/** The first one asks for three times as much as the last ones. */
const trainers: Trainer[] = [
  { model: 'w', items: 144, medianTokens: 950 },
  { model: 'x', items: 112, medianTokens: 600 },
  { model: 'y', items: 96, medianTokens: 480 },
  { model: 'z', items: 104, medianTokens: 450 },
];

/** Every fourth engine has the first speed: the time that work takes there. */
const newSpeeds = (fast: number, usual: number): number[] =>
  Array.from({ length: ENGINES }, (_, index) => (index % 4 === 3 ? fast : usual));

const average = (values: number[]): number =>
  values.reduce((sum, value) => sum + value, 0) / values.length;

const play = (speeds: number[], parts: Parts) => {
  const runs = SEEDS.map((seed) => playSteps(trainers, speeds, parts, { steps: STEPS, seed }));
  const result = {
    items: average(runs.map(({ items }) => items)),
    groups: average(runs.flatMap(({ groups }) => groups)),
    urgent: average(runs.map(({ groups }) => groups[0] ?? 0)),
    moves: average(runs.map(({ moves }) => moves)),
    unfinished: average(runs.map(({ unfinished }) => unfinished)),
  };
  return { ...result, text: JSON.stringify(result) };
};

test('steps are in time on engines of unequal speed', (t) => {
  // Four trainers ask every four seconds for 96 to 144 items, one in twelve five times as long, on
  // twenty engines; work takes 0.5 of the usual time on every fourth and 1.2 on the others. Without
  // the parts a quarter of the groups of the trainer that asks for most is late.
  const speeds = newSpeeds(0.5, 1.2);
  const results = [none, assigned, ordered, all].map((parts) => play(speeds, parts));
  results.forEach(({ text }) => t.log(text));
  const [before, , , after] = results;
  t.true((before?.urgent ?? 1) < 0.85, 'the load is too much without the parts');
  t.true((after?.items ?? 0) > 0.995);
  t.true((after?.groups ?? 0) > 0.98);
  t.is(after?.unfinished, 0);
  t.true((after?.moves ?? 0) < 0.03 * STEPS * 456, 'few items are moved');
});

test('on equal engines nothing moves, and no more is late than before', (t) => {
  const speeds = newSpeeds(1, 1);
  const before = play(speeds, assigned);
  const after = play(speeds, all);
  t.log(before.text);
  t.log(after.text);
  t.is(after.moves, 0);
  t.true(after.groups >= before.groups - 0.01);
});
