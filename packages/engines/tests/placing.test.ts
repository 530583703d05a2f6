import { newManualClock } from '@cyclamengate/fakes/newManualClock';
import test from 'ava';
import chooseUpstream from '../src/chooseUpstream.js';
import type { Candidate } from '../src/chooseUpstream.js';
import findDueLoads from '../src/findDueLoads.js';
import newAllowedLags from '../src/newAllowedLags.js';
import newDirectory from '../src/newDirectory.js';
import newHealth from '../src/newHealth.js';
import assignEngines from '../src/assignEngines.js';
import { newEngine, newEntry, newEqualDemands, silentLog } from './helpers.js';

const candidate = (id: string, changes: Partial<Candidate> = {}): Candidate => ({
  entry: newEntry(id),
  load: 0,
  pace: 1,
  lastingPace: 1,
  isBackedOff: false,
  isOwnDomain: true,
  isConnected: true,
  remainingStarts: Number.POSITIVE_INFINITY,
  ...changes,
});

const chooseId = (candidates: Candidate[]): string | undefined =>
  chooseUpstream(candidates, () => 0)?.entry.id;

test('a request goes to the upstream with the most free slots', (t) => {
  t.is(chooseId([candidate('a', { load: 5 }), candidate('b', { load: 2 })]), 'b');
});

test('an open connection is reused unless another upstream has clearly more free slots', (t) => {
  const connected = candidate('connected', { load: 1 });
  const other = (load: number): Candidate => candidate('other', { load, isConnected: false });
  t.is(chooseId([connected, other(1)]), 'connected');
  t.is(chooseId([candidate('connected', { load: 2 }), other(1)]), 'other');
});

test('a slow upstream is avoided while others have free slots', (t) => {
  // An engine becomes four times slower without reporting it. By load alone it would be chosen, and
  // all of its answers would be late.
  const slow = candidate('slow', { load: 0, pace: 4 });
  t.is(chooseId([slow, candidate('a', { load: 3 }), candidate('b', { load: 4 })]), 'a');
});

test('a fast upstream is preferred while it has a free slot, and not beyond', (t) => {
  // Every fourth engine is twice as fast. A request that waits there for a slot would end later than
  // one that starts at once elsewhere.
  const fast = (load: number): Candidate => candidate('fast', { load, pace: 0.46 });
  t.is(chooseId([fast(7), candidate('common')]), 'fast');
  t.is(chooseId([fast(8), candidate('common', { load: 7 })]), 'common');
  const remote = candidate('remote', { load: 7, isOwnDomain: false, isConnected: false });
  t.is(chooseId([fast(8), remote]), 'remote');
  t.is(chooseId([fast(8), candidate('common', { load: 8 })]), 'fast');
});

test("new work avoids a neighbour's noise unless it would wait elsewhere", (t) => {
  const noisy = candidate('noisy', { pace: 2.5 });
  t.is(chooseId([noisy, candidate('a', { load: 7 })]), 'a');
  t.is(chooseId([noisy, candidate('a', { load: 8 })]), 'noisy');
});

test('upstreams in back-off are used when there are no others', (t) => {
  // All upstreams of a service failed once. Refusing all requests until the back-off ends would
  // turn a brief failure into an outage.
  t.is(
    chooseId([
      candidate('a', { isBackedOff: true, load: 1 }),
      candidate('b', { isBackedOff: true }),
    ]),
    'b',
  );
});

test('the back-off of an upstream grows with each failure, and a success resets it', async (t) => {
  // An engine has failed but is still listed. Each request sent to it costs its caller time, so it
  // is tried less and less often, but never excluded permanently.
  const clock = newManualClock();
  const health = newHealth(clock, silentLog);
  health.recordFailure('a', 'reset');
  t.true(health.isBackedOff('a'));
  await clock.advance(350);
  t.false(health.isBackedOff('a'));
  health.recordFailure('a', 'reset');
  await clock.advance(350);
  t.true(health.isBackedOff('a'));
  await clock.advance(300);
  health.recordSuccess('a');
  health.recordFailure('a', 'reset');
  await clock.advance(350);
  t.false(health.isBackedOff('a'));
});

test('an entry that expired during a store outage may be renewed', async (t) => {
  // During a store outage live upstreams could not renew their entries. Removing all of them on the
  // store's recovery would leave no upstream to serve requests.
  const clock = newManualClock();
  const directory = newDirectory(clock, silentLog);
  directory.put(newEntry('a'));
  directory.put(newEntry('b'));
  directory.startGracePeriod();
  directory.remove('a');
  directory.remove('b');
  t.is(directory.all('models').length, 2);
  directory.put(newEntry('a'));
  await clock.advance(2_500);
  t.deepEqual(
    directory.all('models').map(({ id }) => id),
    ['a'],
  );
});

test('an entry that is deleted while the store is available is removed at once', (t) => {
  // Some engines leave without draining: their entry is deleted 2 s before they stop serving.
  const directory = newDirectory(newManualClock(), silentLog);
  directory.put(newEntry('a'));
  directory.remove('a');
  t.deepEqual(directory.all('models'), []);
});

test('an upstream that restarts under its id is a new incarnation', (t) => {
  // A restarted upstream has lost its state, so connections and counts of the previous incarnation
  // must not be used for it.
  const directory = newDirectory(newManualClock(), silentLog);
  const removed: number[] = [];
  directory.onRemoved(({ startedAt }) => removed.push(startedAt));
  directory.put(newEntry('a', { startedAt: 1 }));
  directory.put(newEntry('a', { startedAt: 2 }));
  t.deepEqual(removed, [1]);
  t.is(directory.find('a')?.startedAt, 2);
});

test('every model has at least two engines, and models are spread evenly over engines', (t) => {
  const models = ['x', 'y', 'z'];
  const engines = ['a', 'b', 'c', 'd', 'e', 'f'];
  const assignments = assignEngines(
    newEqualDemands(models),
    engines.map((id) => newEngine(id)),
  );
  models.forEach((model) => t.is(assignments.get(model)?.size, 2));
  const counts = engines.map(
    (engine) => models.filter((model) => assignments.get(model)?.has(engine)).length,
  );
  t.is(Math.max(...counts), 1);
});

test('the loss of an engine reassigns its models and few others', (t) => {
  const models = ['x', 'y', 'z'];
  const engines = ['a', 'b', 'c', 'd', 'e', 'f', 'g', 'h', 'i'];
  const assign = (ids: string[]) =>
    assignEngines(
      newEqualDemands(models),
      ids.map((id) => newEngine(id)),
    );
  const before = assign(engines);
  const after = assign(engines.slice(1));
  const unchanged = models.flatMap((model) =>
    [...(after.get(model) ?? [])].filter((engine) => before.get(model)?.has(engine)),
  );
  t.true(unchanged.length >= 6, `${unchanged.length} of 9 unchanged`);
});

test('two engines of one model load one after the other', (t) => {
  // An engine refuses new requests for a model while it loads it. If all engines loaded at once,
  // every item of the model would wait for a second, at each step of its trainer.
  const engines = ['a', 'b'].map((id) => newEntry(id, { models: [{ model: 'x', version: 1 }] }));
  const newest = [{ model: 'x', version: 2, learnedAt: 1_000 }];
  const first = findDueLoads(engines, newest, 1_010, () => 1);
  t.is(first.length, 1);
  const loaded = engines.map((entry) =>
    entry.id === first[0]?.entry.id ? { ...entry, models: [{ model: 'x', version: 2 }] } : entry,
  );
  const second = findDueLoads(loaded, newest, 2_000, () => 1);
  t.is(second.length, 1);
  t.not(second[0]?.entry.id, first[0]?.entry.id);
});

test('an engine that never loads does not block the others', (t) => {
  // The first engine is unreachable for the host that orders loads. The next one must still load.
  const engines = ['a', 'b'].map((id) => newEntry(id, { models: [{ model: 'x', version: 1 }] }));
  const newest = [{ model: 'x', version: 2, learnedAt: 1_000 }];
  t.is(findDueLoads(engines, newest, 4_000, () => 1).length, 2);
});

test('a fraction of many engines loads at a time, and those too old for any step at once', (t) => {
  // A trainer announces a version every four seconds, and a load is visible after two. Loading one
  // engine at a time keeps two of eight recent enough: a step of 100 items waits for twelve slots.
  const versions = [9, 9, 9, 9, 9, 9, 8, 7];
  const engines = versions.map((version, index) =>
    newEntry(`engine-${index}`, { models: [{ model: 'x', version }] }),
  );
  const newest = [{ model: 'x', version: 10, learnedAt: 1_000 }];
  const due = findDueLoads(engines, newest, 1_010, () => 1).map(({ entry }) => entry.id);
  t.true(due.includes('engine-6') && due.includes('engine-7'));
  t.is(due.length, 4, 'two that are too old, and a third of eight in turn');
});

test('the allowed version lag is taken from the steps of each model', (t) => {
  // One trainer accepts samples up to three versions old, another only those of the newest version.
  const lags = newAllowedLags();
  t.is(lags.get('x'), 0);
  lags.set('x', 10, 7);
  lags.set('y', 4, 4);
  t.is(lags.get('x'), 3);
  t.is(lags.get('y'), 0);
});
