import { newManualClock } from '@cyclamengate/fakes/newManualClock';
import test from 'ava';
import type { Batch } from '../src/batchRecord.js';
import findFasterMoves from '../src/findFasterMoves.js';
import newBatches from '../src/newBatches.js';
import newItemDescriber from '../src/newItemDescriber.js';
import newPartialTexts from '../src/newPartialTexts.js';
import newReservations from '../src/newReservations.js';
import newTaskList from '../src/newTaskList.js';
import { compareWaiting } from '../src/planStarts.js';
import type { WaitingItem } from '../src/planStarts.js';
import { newBatch, newCandidate, newItem, silentLog } from './helpers.js';
import { batchRoute } from './newRunnerHost.js';

const newHost = () => {
  const clock = newManualClock();
  const parts = newPartialTexts(clock);
  const batches = newBatches({ clock, retentionMs: 120_000, parts });
  const tasks = newTaskList({ clock, log: silentLog, findText: batches.findText });
  const reservations = newReservations(clock);
  const describe = newItemDescriber({ clock, tasks, reservations, routeOf: () => batchRoute });
  const add = (batch: Batch): void => {
    batches.apply({ ...batch, acceptedAt: clock.wallTime() });
    tasks.reconcile(batches.open());
  };
  const describeAll = (pace = 0.5) =>
    Object.fromEntries(
      describe(tasks.all(), [newCandidate('a', { lastingPace: pace })]).map((item) => [
        item.key,
        item,
      ]),
    );
  const finish = (item: string, state: 'completed' | 'abandoned'): void => {
    const result = { type: 'result' as const, batch: 'b', item, state };
    batches.apply({ ...result, text: null, versions: [], score: null });
    tasks.reconcile(batches.open());
  };
  return { clock, add, describeAll, finish };
};

test('an item has to start earlier if it is longer, older, or sent again', async (t) => {
  const { clock, add, describeAll } = newHost();
  add(newBatch('b', [newItem('1'), newItem('2', { expectedTokens: 6_000 })]));
  await clock.advance(1_000);
  add(newBatch('c', [newItem('3'), newItem('4', { group: 'group of 1' })]));
  const items = describeAll();
  const startBy = (key: string): number => items[key]?.startBy ?? 0;
  t.true(startBy('b/2') < startBy('b/1'));
  t.is(startBy('b/1'), startBy('c/3') - 1_000);
  t.true(startBy('c/4') < startBy('c/3'));
});

test('a group is late as soon as one of its items can not be in time on the fastest engine', async (t) => {
  // Its other items would take slots from groups that can be complete in time.
  const { clock, add, describeAll } = newHost();
  const long = newItem('2', { group: 'group of 1', expectedTokens: 9_000 });
  add(newBatch('b', [newItem('1'), long, newItem('3')]));
  const late = (pace: number): string[] =>
    Object.values(describeAll(pace))
      .filter(({ isLate }) => isLate)
      .map(({ key }) => key);
  t.deepEqual(late(0.6), []);
  await clock.advance(6_000);
  t.deepEqual(late(0.6), ['b/1', 'b/2']);
  t.deepEqual(late(0.3), []);
  t.deepEqual(late(1), [], 'among engines that are alike nobody gives way');
  await clock.advance(3_700);
  t.deepEqual(late(0.6), [], 'they give way for a while only, so that the trainer can go on');
});

test('among engines that are alike the oldest batch goes first, then groups that were sent again', async (t) => {
  // Guards against steps of a deployment with equal engines that wait for the newer ones.
  const { clock, add, describeAll } = newHost();
  add(newBatch('b', [newItem('1'), newItem('2', { expectedTokens: 6_000 })]));
  await clock.advance(1_000);
  const long = newItem('3', { expectedTokens: 6_000 });
  add(newBatch('c', [long, newItem('4', { group: 'group of 1' })]));
  const items = Object.values(describeAll(1));
  t.deepEqual(
    items.sort(compareWaiting).map(({ key }) => key),
    ['b/2', 'b/1', 'c/4', 'c/3'],
  );
  t.true(items.every(({ isWanted, isLate }) => isWanted && !isLate));
});

test('an item that is in time on a slow engine stays there, also where no engine is fast', (t) => {
  // Guards against a connection and a new run for each item that would have been in time.
  const { clock, add, describeAll } = newHost();
  add(newBatch('b', [newItem('1', { expectedTokens: 1_000 })]));
  const [item] = Object.values(describeAll(1));
  const engines = [newCandidate('slow', { lastingPace: 2, load: 1 }), newCandidate('usual')];
  const running = { ...(item as WaitingItem), upstream: 'slow' };
  t.deepEqual(
    findFasterMoves(clock.wallTime(), [running], [], engines, () => false),
    [],
  );
});

test('no group is wanted once enough are complete, and none that lost an item', (t) => {
  const { add, describeAll, finish } = newHost();
  const items = ['1', '2', '3', '4'].map((id) => newItem(id));
  items.push(newItem('5', { group: 'group of 4' }));
  add(newBatch('b', items, { wantedGroups: 2 }));
  const wanted = (): string[] =>
    Object.values(describeAll())
      .filter(({ isWanted }) => isWanted)
      .map(({ key }) => key);
  finish('4', 'abandoned');
  t.deepEqual(wanted(), ['b/1', 'b/2', 'b/3']);
  finish('1', 'completed');
  t.deepEqual(wanted(), ['b/2', 'b/3']);
  finish('2', 'completed');
  t.deepEqual(wanted(), []);
});
