import test from 'ava';
import type { Part } from '../src/batchRecord.js';
import { newBatch, newItem } from './helpers.js';
import newRunnerHost from './newRunnerHost.js';

const scoring = { id: 's1', hostName: 'parts.example', path: '/score', body: '' };
const other = { ...scoring, id: 's2' };

const whole: Part = {
  type: 'part',
  batch: 'b',
  item: '1',
  writer: 'dead',
  from: 0,
  events: ['one'],
  lastEventId: '1',
  versions: [1],
  isWhole: true,
};

test('an item is run, scored, and listed with the place of its text', async (t) => {
  const { clock, batches, seen, close } = newRunnerHost();
  batches.apply(newBatch('b', [newItem('1', { scoring })]));
  await clock.advance(500);
  t.deepEqual(seen.runs, ['1']);
  t.deepEqual(seen.scored, ['s1']);
  t.is(seen.results[0]?.text?.topic, 'one\ntwo');
  t.is(seen.results[0]?.score, 'good');
  await close();
});

test('a result is not written before the batch that it belongs to stands in the log', async (t) => {
  // Begun while the store was away; hosts pass over a result of a batch that they do not know yet.
  const { clock, batches, seen, close } = newRunnerHost();
  const batch = newBatch('b', [newItem('1', { scoring })]);
  batches.begin(batch);
  await clock.advance(500);
  t.deepEqual(seen.scored, ['s1']);
  t.deepEqual(seen.results, []);
  batches.apply(batch);
  await clock.advance(500);
  t.deepEqual(
    batches.get('b')?.results.map(({ item }) => item),
    ['1'],
  );
  await close();
});

test('a text restored after a restart is not scored before the end of its batch is read', async (t) => {
  // A host starts and reads the log from its beginning: a batch, and its text, and only seconds of
  // reading later the batch's end. Begun in between, scoring calls run for a batch that ended long
  // ago, and its customer pays for them.
  const { clock, batches, parts, seen, state, close } = newRunnerHost();
  state.isFresh = false;
  parts.apply(whole);
  batches.apply(newBatch('b', [newItem('1', { scoring }), newItem('2', { scoring })]));
  await clock.advance(1_000);
  batches.apply({ type: 'batch-end', batch: 'b' });
  state.isFresh = true;
  await clock.advance(1_000);
  t.deepEqual(seen.scored, []);
  t.deepEqual(seen.runs, []);
  await close();
});

test('a text that becomes whole on an old view is scored once the view is new again', async (t) => {
  // The store turns one host away alone. Its items run on, and meanwhile their batch is ended at
  // another host. Scoring calls for them would run seconds after their customer was told that all
  // of it has ended.
  const { clock, batches, seen, state, goOn, close } = newRunnerHost();
  const batch = newBatch('b', [newItem('1', { scoring }), newItem('2', { scoring: other })]);
  state.isSlow = true;
  batches.apply(batch);
  await clock.advance(300);
  state.isFresh = false;
  goOn.abort();
  await clock.advance(1_000);
  t.deepEqual(seen.runs, ['1', '2']);
  t.deepEqual(seen.scored, []);
  state.isFresh = true;
  await clock.advance(500);
  t.deepEqual(seen.scored, ['s1', 's2']);
  t.is(seen.results.length, 2);
  await close();
});

test('a batch that the store does not have yet runs on any view, and is listed once it has', async (t) => {
  // The store is away: no view is fresh. This batch can't have been ended, since nobody was told
  // that it is there.
  const { clock, batches, seen, state, close } = newRunnerHost();
  state.isFresh = false;
  const batch = newBatch('b', [newItem('1', { scoring })]);
  batches.begin(batch);
  await clock.advance(500);
  t.deepEqual(seen.runs, ['1']);
  t.deepEqual(batches.get('b')?.results ?? [], []);
  await close();
});

test('a host that is stopped hands its batches, with their texts so far, straight to another', async (t) => {
  // Hosts are restarted in turn while the store is away. What the leaving host writes down reaches
  // nobody, nobody learns that it leaves, and the step stands still until the store is back.
  const { clock, batches, seen, state, runner, close } = newRunnerHost();
  state.isSlow = true;
  batches.apply(newBatch('b', [newItem('1', { scoring }), newItem('2', { scoring })]));
  await clock.advance(500);
  await runner.handOver('stopped');
  t.is(seen.handovers.length, 1);
  const [handover] = seen.handovers;
  t.deepEqual(handover?.batch.items.map(({ id }) => id).sort(), ['1', '2']);
  t.deepEqual(
    handover?.texts.map(({ events, lastEventId }) => [events, lastEventId]),
    [
      [['one'], '1'],
      [['one'], '1'],
    ],
  );
  await clock.advance(500);
  t.is(seen.runs.length, 2, 'nothing of it runs here any more');
  await close();
});

test('a batch that another host hands over goes on after the events that it brought', async (t) => {
  const { clock, batches, parts, seen, close } = newRunnerHost();
  const batch = newBatch('b', [newItem('1', { scoring })]);
  parts.apply({ ...whole, isWhole: false });
  batches.begin(batch);
  await clock.advance(500);
  batches.apply(batch);
  await clock.advance(500);
  t.deepEqual(seen.runs, ['1']);
  t.is(seen.results.at(-1)?.text?.topic, 'one\ntwo');
  await close();
});
