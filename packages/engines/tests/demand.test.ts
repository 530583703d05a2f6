import test from 'ava';
import type { ModelDemand } from '../src/apportionEngines.js';
import assignEngines from '../src/assignEngines.js';
import type { AssignableEngine, EngineAssignments } from '../src/newAssignmentDraft.js';
import newEngineAssigner from '../src/newEngineAssigner.js';
import { newEngine, newEntry, newEqualDemands } from './helpers.js';

const MODELS = ['w', 'x', 'y', 'z'];
const DOMAINS = ['detroit', 'cleveland', 'milwaukee'];
const FLEETS = 12;

/** Engines in three failure domains, every fourth one twice as fast. */
const newFleet = (count: number, name: string, fastPace = 0.5): AssignableEngine[] =>
  Array.from({ length: count }, (_, index) =>
    newEngine(`${name}-${index}`, {
      failureDomain: DOMAINS[Math.floor(index / 2) % DOMAINS.length] ?? '',
      pace: index % 4 === 3 ? fastPace : 1,
    }),
  );

const fleets = (count: number, fastPace?: number): AssignableEngine[][] =>
  Array.from({ length: FLEETS }, (_, index) => newFleet(count, `fleet${index}`, fastPace));

const sizes = (assignments: EngineAssignments): number[] =>
  MODELS.map((model) => assignments.get(model)?.size ?? 0);

const capacityOf = (assigned: Set<string> | undefined, engines: AssignableEngine[]): number =>
  engines
    .filter(({ id }) => assigned?.has(id))
    .reduce((sum, { slots, pace }) => sum + slots / pace, 0);

/** Engines that a model gets anew, without those that make up for lost ones. */
const countGained = (before: EngineAssignments, after: EngineAssignments): number =>
  MODELS.reduce(
    (sum, model) =>
      sum + [...(after.get(model) ?? [])].filter((id) => !before.get(model)?.has(id)).length,
    0,
  );

const unequal: ModelDemand[] = MODELS.map((model, index) => ({
  model,
  demand: index === 0 ? 3_000 : 1_000,
}));

test('with equal demands and paces every model gets as many engines as before', (t) => {
  fleets(45, 1).forEach((engines) => {
    t.deepEqual(sizes(assignEngines(newEqualDemands(MODELS), engines)), [11, 11, 11, 11]);
    const almostEqual = MODELS.map((model, index) => ({ model, demand: 100 + 8 * index }));
    t.deepEqual(sizes(assignEngines(almostEqual, engines)), [11, 11, 11, 11]);
  });
});

test('a plain service, whose upstreams differ in pace, has no models to assign', (t) => {
  // Guards against hosts that end as soon as one upstream of a plain service turns slow.
  t.deepEqual(assignEngines([], newFleet(4, 'portal')), new Map());
});

test('a trainer that asks for three times as much gets three times the capacity', (t) => {
  // Every model had the same number of engines. The steps of the trainer that asks for most were
  // late while engines of the others were idle.
  fleets(44).forEach((engines) => {
    const assignments = assignEngines(unequal, engines);
    const total = engines.reduce((sum, { slots, pace }) => sum + slots / pace, 0);
    unequal.forEach(({ model, demand }) => {
      const share = capacityOf(assignments.get(model), engines) / total;
      t.true(Math.abs(share - demand / 6_000) < 0.03, `${model} has ${share}`);
    });
  });
});

test('every model gets its part of the fast engines', (t) => {
  // One trainer had no fast engine, and its longest items were late in every step.
  fleets(44).forEach((engines) => {
    const assignments = assignEngines(newEqualDemands(MODELS), engines);
    const fast = MODELS.map(
      (model) =>
        engines.filter(({ id, pace }) => pace < 1 && assignments.get(model)?.has(id)).length,
    );
    t.true(Math.min(...fast) >= 2 && Math.max(...fast) <= 3, `${fast}`);
  });
});

test('the loss of a failure domain leaves every model half of its engines and moves few', (t) => {
  // Most of a model's engines were in one failure domain. When it was cut off, the model's steps ran
  // on two engines until others had loaded its weights.
  let gained = 0;
  fleets(44).forEach((engines) => {
    const before = assignEngines(unequal, engines);
    const rest = engines.filter(({ failureDomain }) => failureDomain !== 'detroit');
    MODELS.forEach((model) => {
      const kept = rest.filter(({ id }) => before.get(model)?.has(id)).length;
      t.true(kept >= (before.get(model)?.size ?? 0) / 2, `${model} keeps ${kept}`);
    });
    gained += countGained(before, assignEngines(unequal, rest));
  });
  t.log(`assignments that change as 16 of 44 engines are lost: ${gained / FLEETS}`);
  t.true(gained / FLEETS <= 6, `${gained / FLEETS}`);
});

test('the loss of an engine moves little more than its model', (t) => {
  // Guards against a round of loads on all engines whenever one is lost.
  let gained = 0;
  let losses = 0;
  fleets(44).forEach((engines) => {
    const before = assignEngines(unequal, engines);
    engines.slice(0, 8).forEach((lost) => {
      losses += 1;
      const after = assignEngines(
        unequal,
        engines.filter((engine) => engine !== lost),
      );
      gained += countGained(before, after);
    });
  });
  t.log(`assignments that change as one engine is lost: ${(gained / losses).toFixed(2)}`);
  t.true(gained / losses <= 3, `${gained / losses}`);
});

test('a changed demand moves only the difference', (t) => {
  // Guards against a round of loads on all engines whenever a trainer asks for more or less.
  let gained = 0;
  fleets(44).forEach((engines) => {
    const before = assignEngines(unequal, engines);
    const less = unequal.map(({ model, demand }) => ({ model, demand: Math.min(demand, 2_000) }));
    gained += countGained(before, assignEngines(less, engines));
  });
  // From 22 engines of 44 to 17 or 18.
  t.log(`assignments that change as demand goes from 3 to 2: ${gained / FLEETS}`);
  t.true(gained / FLEETS <= 10, `${gained / FLEETS}`);
});

test('hosts that list the same engines and models in any order agree', (t) => {
  fleets(44).forEach((engines) => {
    const other = assignEngines([...unequal].reverse(), [...engines].reverse());
    assignEngines(unequal, engines).forEach((assigned, model) =>
      t.deepEqual([...assigned].sort(), [...(other.get(model) ?? [])].sort()),
    );
  });
});

test('a model keeps two engines however little its trainer asks for', (t) => {
  const demands = MODELS.map((model, index) => ({ model, demand: index === 0 ? 1 : 1_000 }));
  fleets(12).forEach((engines) => {
    const assignments = assignEngines(demands, engines);
    t.is(assignments.get('w')?.size, 2);
    t.is(
      sizes(assignments).reduce((sum, size) => sum + size, 0),
      12,
      'every engine is used',
    );
  });
});

test('assignments are computed anew only when a demand or a class of pace has changed', (t) => {
  const paces = new Map<string, number>();
  const demands = new Map<string, number>();
  const assign = newEngineAssigner({
    demandOf: (model) => demands.get(model) ?? 1,
    paceOf: (id) => paces.get(id) ?? 1,
  });
  const entries = Array.from({ length: 12 }, (_, index) => newEntry(`engine-${index}`));
  const first = assign(MODELS, entries);
  paces.set('engine-0', 0.9);
  t.is(assign(MODELS, entries), first);
  paces.set('engine-0', 0.45);
  t.not(assign(MODELS, entries), first);
  demands.set('w', 3);
  t.true((assign(MODELS, entries).get('w')?.size ?? 0) > (first.get('w')?.size ?? 0));
});
