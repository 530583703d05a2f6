import test from 'ava';
import newDemands from '../src/newDemands.js';

const MODELS = ['x', 'y', 'z'];

/** A step of 100 items. */
const step = (model: string, number: number, tokens: number) => ({
  model,
  step: number,
  items: Array.from({ length: 100 }, () => ({ expectedTokens: tokens })),
});

const countChanges = (values: number[]): number =>
  values.filter((value, index) => index > 0 && value !== values[index - 1]).length;

test('demand follows the work of a step, not how often it is asked', (t) => {
  // A trainer that is behind asks less often. By work per time its model would lose engines, and
  // the trainer would fall further behind.
  const demands = newDemands();
  for (let number = 1; number <= 20; number += 1) {
    demands.apply(step('x', number, 900));
    if (number % 2 === 0) demands.apply(step('y', number, 900));
  }
  t.is(demands.demandOf('x', MODELS), demands.demandOf('y', MODELS));
});

test('demand that fluctuates by a fifth changes nothing, a lasting threefold one does', (t) => {
  // Each change of an assignment costs loads of weights, and an engine refuses a model meanwhile.
  const demands = newDemands();
  const seen: number[] = [];
  for (let number = 1; number <= 60; number += 1) {
    demands.apply(step('x', number, 1_000 + 200 * Math.sin(number * 1.7)));
    demands.apply(step('y', number, 1_000));
    if (number > 1) seen.push(demands.demandOf('x', MODELS));
  }
  t.is(countChanges(seen), 0);
  for (let number = 61; number <= 72; number += 1) {
    demands.apply(step('x', number, 3_000));
    demands.apply(step('y', number, 1_000));
    seen.push(demands.demandOf('x', MODELS));
  }
  const ratio = demands.demandOf('x', MODELS) / demands.demandOf('y', MODELS);
  t.true(ratio > 2.2 && ratio < 3.1, `${ratio}`);
  t.true(countChanges(seen) <= 5, `${countChanges(seen)}`);
});

test('a trainer that stops keeps a small part and has its own again with its next step', (t) => {
  const demands = newDemands();
  MODELS.forEach((model) => demands.apply(step(model, 1, 900)));
  for (let number = 2; number <= 9; number += 1) {
    ['x', 'y'].forEach((model) => demands.apply(step(model, number, 900)));
  }
  t.is(demands.demandOf('z', MODELS), 30_000);
  t.is(demands.demandOf('x', MODELS), 90_000);
  demands.apply(step('z', 2, 900));
  t.is(demands.demandOf('z', MODELS), 90_000);
});

test('a model counts as an average one until its first step', (t) => {
  const demands = newDemands();
  t.is(demands.demandOf('x', MODELS), 1);
  demands.apply(step('x', 1, 900));
  t.is(demands.demandOf('y', MODELS), demands.demandOf('x', MODELS));
});

test('a step that comes in two batches counts once', (t) => {
  const demands = newDemands();
  demands.apply(step('x', 1, 500));
  demands.apply(step('x', 1, 400));
  demands.apply(step('y', 1, 900));
  t.is(demands.demandOf('x', MODELS), demands.demandOf('y', MODELS));
});
