import { newManualClock } from '@cyclamengate/fakes/newManualClock';
import test from 'ava';
import type { Part } from '../src/batchRecord.js';
import newBatches from '../src/newBatches.js';
import newPartSaver from '../src/newPartSaver.js';
import newPartialTexts from '../src/newPartialTexts.js';
import newTaskList from '../src/newTaskList.js';
import { newBatch, newItem, silentLog } from './helpers.js';

const part = (
  writer: string,
  from: number,
  events: string[],
  changes: Partial<Part> = {},
): Part => ({
  type: 'part',
  batch: 'b',
  item: '1',
  writer,
  from,
  events,
  lastEventId: String(from + events.length),
  versions: [1],
  isWhole: false,
  ...changes,
});

test('parts of one writer are joined to one text', (t) => {
  const texts = newPartialTexts(newManualClock());
  texts.apply(part('a', 0, ['1', '2']));
  texts.apply(part('a', 2, ['3']));
  t.deepEqual(texts.get('1')?.progress, {
    events: ['1', '2', '3'],
    lastEventId: '3',
    versions: [1],
  });
});

test('parts of two writers are never joined', (t) => {
  // A host that was considered dead still writes while another host resumes its items. The joined
  // text would be one that no engine generated.
  const texts = newPartialTexts(newManualClock());
  texts.apply(part('a', 0, ['1', '2']));
  texts.apply(part('b', 0, ['1', '2', 'b3']));
  texts.apply(part('a', 2, ['a3']));
  texts.apply(part('a', 3, ['a4']));
  t.deepEqual(texts.get('1')?.progress.events, ['1', '2', 'b3']);
});

test('a part that follows a lost one is ignored', (t) => {
  const texts = newPartialTexts(newManualClock());
  texts.apply(part('a', 0, ['1']));
  texts.apply(part('a', 2, ['3']));
  t.deepEqual(texts.get('1')?.progress.events, ['1']);
});

test('another host resumes after the last event that was written', (t) => {
  // The host that runs a batch dies, and its items resume on the next host. Generated again from
  // the start, the long ones would miss their step.
  const clock = newManualClock();
  const parts = newPartialTexts(clock);
  const batches = newBatches({ clock, retentionMs: 120_000, parts });
  batches.apply(newBatch('b', [newItem('1'), newItem('2')]));
  parts.apply(part('dead', 0, ['1', '2']));
  const tasks = newTaskList({ clock, log: silentLog, findText: batches.findText });
  const [first, second] = tasks.reconcile(batches.open());
  t.deepEqual(first?.progress, { events: ['1', '2'], lastEventId: '2', versions: [1] });
  t.is(first?.phase, 'waiting');
  t.is(second?.progress.lastEventId, null);
});

test('a complete text is only scored by the next host', (t) => {
  const clock = newManualClock();
  const parts = newPartialTexts(clock);
  const batches = newBatches({ clock, retentionMs: 120_000, parts });
  batches.apply(newBatch('b', [newItem('1')]));
  parts.apply(part('dead', 0, ['1', '2'], { isWhole: true }));
  const tasks = newTaskList({ clock, log: silentLog, findText: batches.findText });
  t.is(tasks.reconcile(batches.open())[0]?.phase, 'unscored');
});

test('text that is too old for a later batch is not reused', (t) => {
  // A group is carried over into a step that no longer allows the version that generated its text.
  const clock = newManualClock();
  const parts = newPartialTexts(clock);
  const batches = newBatches({ clock, retentionMs: 120_000, parts });
  batches.apply(newBatch('b', [newItem('1')]));
  parts.apply(part('a', 0, ['1', '2'], { versions: [1, 2] }));
  batches.apply({ type: 'batch-end', batch: 'b' });
  batches.apply(newBatch('c', [newItem('1')], { leastVersion: 2 }));
  const tasks = newTaskList({ clock, log: silentLog, findText: batches.findText });
  t.deepEqual(tasks.reconcile(batches.open())[0]?.progress.events, []);
});

test('after an unacknowledged part the whole text is written again', async (t) => {
  // Whether the part was written is unknown; a part that continues it might be ignored for ever.
  const clock = newManualClock();
  const parts = newPartialTexts(clock);
  const batches = newBatches({ clock, retentionMs: 120_000, parts });
  batches.apply(newBatch('b', [newItem('1')]));
  const tasks = newTaskList({ clock, log: silentLog, findText: batches.findText });
  const [task] = tasks.reconcile(batches.open());
  if (!task) throw new Error('no task');
  const written: Part[] = [];
  const outcomes = ['written', 'unknown', 'written'] as const;
  const save = newPartSaver({
    clock,
    writer: 'a',
    write: async (piece) => {
      written.push(piece);
      return outcomes[written.length - 1] ?? 'written';
    },
  });
  const add = (event: string): void => {
    task.progress.events.push(event);
    task.progress.lastEventId = String(task.progress.events.length);
  };
  add('1');
  await save(task);
  add('2');
  await save(task);
  await save(task);
  await save(task);
  t.deepEqual(
    written.map(({ from, events }) => [from, events]),
    [
      [0, ['1']],
      [1, ['2']],
      [0, ['1', '2']],
    ],
  );
});

test('partial texts beyond a size are forgotten, the oldest first', (t) => {
  // Guards against a host that takes a batch over and is ended by the long texts of its items.
  const texts = newPartialTexts(newManualClock());
  const long = 'x'.repeat(1_000_000);
  for (let item = 0; item < 20; item += 1) {
    texts.apply(part('a', 0, [long], { item: String(item) }));
    texts.apply(part('a', 1, [long], { item: String(item) }));
  }
  const kept = Array.from({ length: 20 }, (_, item) => texts.get(String(item)) !== undefined);
  t.deepEqual(kept, [...Array<boolean>(16).fill(false), ...Array<boolean>(4).fill(true)]);
});
