import test from 'ava';
import type { Part } from '../src/batchRecord.js';
import { newBatch, newCandidate, newItem } from './helpers.js';
import newRunnerHost from './newRunnerHost.js';

const scoring = { id: 's1', hostName: 'parts.example', path: '/score', body: '' };
const otherScoring = { ...scoring, id: 's2' };

const completePart: Part = {
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

test('an item is run, scored, and listed with the location of its text', async (t) => {
  const { clock, batches, observed, close } = newRunnerHost();
  batches.apply(newBatch('b', [newItem('1', { scoring })]));
  await clock.advance(500);
  t.deepEqual(observed.runs, ['1']);
  t.deepEqual(observed.scored, ['s1']);
  t.is(observed.results[0]?.text?.topic, 'one\ntwo');
  t.is(observed.results[0]?.score, 'good');
  await close();
});

const BROKEN_CALLS = ['brokenSends', 'brokenScores'] as const;

BROKEN_CALLS.forEach((kind) => {
  test(`an item whose work fails by an error that no code expects goes on (${kind})`, async (t) => {
    // Guards against an item that is never listed: it stays in a phase in which it is worked on, and its
    // engine's slot stays taken.
    const { clock, batches, state, observed, close } = newRunnerHost();
    state[kind] = 1;
    batches.apply(newBatch('b', [newItem('1', { scoring })]));
    await clock.advance(500);
    // A broken send is a failed run, and the item is sent again at once.
    t.is(observed.results.length, kind === 'brokenSends' ? 1 : 0);
    await clock.advance(2_000);
    t.is(observed.results[0]?.score, 'good');
    t.is(observed.runs.length, kind === 'brokenSends' ? 2 : 1);
    await close();
  });
});

const abandonsHopeless = test.macro(async (t, engineStatus: number, runsPerBatch: number) => {
  // Guards against an item that no engine can do, and that is run in each batch in which it comes again.
  const { clock, batches, observed, state, close } = newRunnerHost();
  state.engineStatus = engineStatus;
  const submitted = ['b1', 'b2', 'b3', 'b4', 'b5'];
  for (const id of submitted) {
    const acceptedAt = clock.wallTime();
    batches.apply(newBatch(id, [newItem('1')], { acceptedAt }));
    await clock.advance(5_000);
    t.is(batches.get(id)?.results[0]?.state, 'abandoned', id);
    batches.apply({ type: 'batch-end', batch: id });
  }
  t.is(observed.runs.length, 3 * runsPerBatch);
  state.engineStatus = 200;
  const body = Buffer.from('another prompt').toString('base64');
  batches.apply(newBatch('b6', [newItem('1', { body })], { acceptedAt: clock.wallTime() }));
  await clock.advance(500);
  t.is(batches.get('b6')?.results[0]?.state, 'completed', 'another request under its id');
  await close();
});

test('an item that engines refuse for good is not run in a fourth batch', abandonsHopeless, 422, 1);
test('an item that fails in three batches is not run in a fourth one', abandonsHopeless, 500, 3);

test('a result is not written before its batch is in the log', async (t) => {
  // The batch was begun while the store was unavailable. Hosts ignore a result of a batch that they
  // do not know yet.
  const { clock, batches, observed, close } = newRunnerHost();
  const batch = newBatch('b', [newItem('1', { scoring })]);
  batches.begin(batch);
  await clock.advance(500);
  t.deepEqual(observed.scored, ['s1']);
  t.deepEqual(observed.results, []);
  batches.apply(batch);
  await clock.advance(500);
  t.deepEqual(
    batches.get('b')?.results.map(({ item }) => item),
    ['1'],
  );
  await close();
});

test('a text restored after a restart is not scored before the end of its batch is read', async (t) => {
  // A host starts and reads the log from its beginning: a batch, its text, and only seconds later
  // the batch's end. Scoring calls that are made in between are paid by the customer of a batch
  // that ended long ago.
  const { clock, batches, parts, observed, state, close } = newRunnerHost();
  state.isFresh = false;
  parts.apply(completePart);
  batches.apply(newBatch('b', [newItem('1', { scoring }), newItem('2', { scoring })]));
  await clock.advance(1_000);
  batches.apply({ type: 'batch-end', batch: 'b' });
  state.isFresh = true;
  await clock.advance(1_000);
  t.deepEqual(observed.scored, []);
  t.deepEqual(observed.runs, []);
  await close();
});

test('a text that is completed on a stale view is scored once the view is current again', async (t) => {
  // The store rejects one host only. Its items continue to run while their batch is ended on
  // another host. Scoring calls for them would run seconds after their customer was told that the
  // whole batch had ended.
  const { clock, batches, observed, state, resumeEngine, close } = newRunnerHost();
  const batch = newBatch('b', [newItem('1', { scoring }), newItem('2', { scoring: otherScoring })]);
  state.isSlow = true;
  batches.apply(batch);
  await clock.advance(300);
  state.isFresh = false;
  resumeEngine.abort();
  await clock.advance(1_000);
  t.deepEqual(observed.runs, ['1', '2']);
  t.deepEqual(observed.scored, []);
  state.isFresh = true;
  await clock.advance(500);
  t.deepEqual(observed.scored, ['s1', 's2']);
  t.is(observed.results.length, 2);
  await close();
});

test('a batch that the store does not have yet runs on any view, and is listed only once the store has it', async (t) => {
  // No view is current while the store is unavailable. The batch cannot have been ended, since no
  // caller was told that it exists.
  const { clock, batches, observed, state, close } = newRunnerHost();
  state.isFresh = false;
  const batch = newBatch('b', [newItem('1', { scoring })]);
  batches.begin(batch);
  await clock.advance(500);
  t.deepEqual(observed.runs, ['1']);
  t.deepEqual(batches.get('b')?.results ?? [], []);
  await close();
});

test('a host that is stopped hands its batches, with their partial texts, directly to another host', async (t) => {
  // Hosts are restarted one after the other while the store is unavailable. Nothing that the
  // leaving host writes is stored, no host learns that it is leaving, and the step is idle until
  // the store recovers.
  const { clock, batches, observed, state, runner, close } = newRunnerHost();
  state.isSlow = true;
  batches.apply(newBatch('b', [newItem('1', { scoring }), newItem('2', { scoring })]));
  await clock.advance(500);
  await runner.handOver('stopped');
  t.is(observed.handovers.length, 1);
  const [handover] = observed.handovers;
  t.deepEqual(handover?.batch.items.map(({ id }) => id).sort(), ['1', '2']);
  t.deepEqual(
    handover?.texts.map(({ events, lastEventId }) => [events, lastEventId]),
    [
      [['one'], '1'],
      [['one'], '1'],
    ],
  );
  await clock.advance(500);
  t.is(observed.runs.length, 2, 'none of its items runs here any more');
  await close();
});

test('a batch that another host hands over resumes after the events that came with it', async (t) => {
  const { clock, metrics, batches, parts, observed, close } = newRunnerHost();
  const batch = newBatch('b', [newItem('1', { scoring })]);
  parts.apply({ ...completePart, isWhole: false });
  batches.begin(batch);
  await clock.advance(500);
  batches.apply(batch);
  await clock.advance(500);
  t.deepEqual(observed.runs, ['1']);
  t.is(observed.results.at(-1)?.text?.topic, 'one\ntwo');
  t.is(metrics.readCounter('item_runs_repeated_host_change'), 1);
  await close();
});

test('a long item moves once to a much faster engine and resumes after its last event', async (t) => {
  // Which items are long shows only as they run. The longest item of a step stayed on a slow engine
  // while slots twice as fast became free.
  const { clock, metrics, batches, observed, state, resumeEngine, close } = newRunnerHost();
  state.isSlow = true;
  batches.apply(
    newBatch('b', [newItem('1', { scoring, expectedTokens: 9_000 })], {
      acceptedAt: clock.wallTime(),
    }),
  );
  await clock.advance(300);
  state.candidates = [newCandidate('a'), newCandidate('fast', { pace: 0.46, lastingPace: 0.46 })];
  await clock.advance(2_000);
  t.deepEqual(observed.upstreams, ['a', 'fast']);
  t.is(metrics.readCounter('item_runs_repeated_moved'), 1);
  t.is(metrics.readCounter('item_events_kept'), 1);
  resumeEngine.abort();
  await clock.advance(300);
  t.is(observed.results[0]?.text?.topic, 'one\ntwo');
  await close();
});

test('no item moves to a faster engine while the view is not current', async (t) => {
  // It could not start again before the view is current: it would have lost its slot.
  const { clock, batches, observed, state, close } = newRunnerHost();
  state.isSlow = true;
  batches.apply(newBatch('b', [newItem('1', { scoring, expectedTokens: 9_000 })]));
  await clock.advance(300);
  state.isFresh = false;
  state.candidates = [newCandidate('a'), newCandidate('fast', { pace: 0.46, lastingPace: 0.46 })];
  await clock.advance(2_000);
  t.deepEqual(observed.upstreams, ['a']);
  await close();
});

const newEngine = (id: string, version: number) =>
  newCandidate(id, {}, { models: [{ model: 'x', version }] });

/** The text of an item of a single-version route that another host has begun under version 1. */
const newBegunText = async () => {
  const parts = newRunnerHost({ isSingleVersion: true });
  parts.state.candidates = [newEngine('a', 1)];
  parts.state.isSlow = true;
  parts.batches.apply(newBatch('b', [newItem('1')]));
  await parts.clock.advance(500);
  return parts;
};

test('a text whose only version no engine has any more is begun anew', async (t) => {
  // Guards against an item that no engine is ever sent again: its engine was lost after all others had
  // loaded the next version.
  const { clock, observed, state, resumeEngine, close } = await newBegunText();
  state.newestVersion = 2;
  state.candidates = [newEngine('b', 2)];
  state.isSlow = false;
  state.engineVersion = 2;
  await clock.advance(2_000);
  resumeEngine.abort();
  await clock.advance(1_000);
  t.deepEqual(observed.upstreams, ['a', 'b']);
  t.is(observed.results[0]?.text?.topic, 'one\ntwo');
  t.deepEqual(observed.results[0]?.versions, [2]);
  await close();
});

test('a text waits while an engine may still continue it', async (t) => {
  // Guards against texts that are thrown away while a busy engine, or one that is about to load their
  // version, could end them.
  const { clock, observed, state, close } = await newBegunText();
  state.isSlow = false;
  state.newestVersion = 2;
  state.candidates = [newEngine('b', 2), newEngine('c', 1)].map((candidate, index) =>
    index === 1 ? { ...candidate, load: 8 } : candidate,
  );
  await clock.advance(3_000);
  t.deepEqual(observed.upstreams, ['a']);
  state.newestVersion = 1;
  state.candidates = [newEngine('d', 0)];
  await clock.advance(1_000);
  t.deepEqual(observed.upstreams, ['a']);
  state.candidates = [newEngine('d', 1)];
  await clock.advance(1_000);
  t.deepEqual(observed.upstreams, ['a', 'd']);
  t.deepEqual(observed.results[0]?.versions, [1]);
  await close();
});
