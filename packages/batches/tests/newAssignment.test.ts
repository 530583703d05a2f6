import { newManualClock } from '@cyclamengate/fakes/newManualClock';
import test from 'ava';
import newAssignment from '../src/newAssignment.js';
import newBatches from '../src/newBatches.js';
import newPartTexts from '../src/newPartTexts.js';
import newTakeovers from '../src/newTakeovers.js';
import { newBatch, newItem } from './helpers.js';

const newHost = (incarnation: string, isOwner: boolean) => {
  const clock = newManualClock();
  const live = new Set(['owner', 'beginner']);
  const batches = newBatches({ clock, lifeMs: 120_000, parts: newPartTexts(clock) });
  const takeovers = newTakeovers({ clock, isOwner: () => isOwner, readParts: async () => {} });
  const isLive = (run: string): boolean => live.has(run);
  const left = new Set<string>();
  const hasLeft = (host: string): boolean => left.has(host);
  const isLeaving = (): boolean => false;
  const view = { isStanding: false, freshAt: clock.now() };
  const freshAt = (): number => {
    if (!view.isStanding) view.freshAt = clock.now();
    return view.freshAt;
  };
  const options = { clock, incarnation, isLeaving, freshAt, isLive, hasLeft, takeovers };
  const isMine = newAssignment(options);
  takeovers.mayBegin('x');
  return { clock, live, left, view, batches, isMine: () => batches.open().map(isMine) };
};

const batch = newBatch('b', [newItem('1')]);
const begun = {
  type: 'batch-begun' as const,
  batch: 'b',
  host: 'beginner',
  incarnation: 'beginner',
  from: null,
};

const said = { batch: 'b', host: 'beginner', address: '127.0.0.1:1' };

test('a batch that was begun before it was kept stays with its host, and with no other', async (t) => {
  // The store comes back with a batch that one host has half done. Were its usual owner to run it
  // too, each text would be made twice while all wait for engines.
  const beginner = newHost('beginner', false);
  beginner.batches.begin(batch);
  t.deepEqual(beginner.isMine(), [true]);
  t.is(beginner.batches.get('b'), undefined, 'nobody may be told of it yet');
  const owner = newHost('owner', true);
  await new Promise(setImmediate);
  [beginner, owner].forEach(({ batches }) => {
    batches.apply(batch);
    batches.apply(begun);
  });
  t.truthy(beginner.batches.get('b'));
  t.deepEqual(beginner.isMine(), [true]);
  t.deepEqual(owner.isMine(), [false]);
});

test('a batch whose beginner has died goes to its usual owner', async (t) => {
  const owner = newHost('owner', true);
  await new Promise(setImmediate);
  owner.batches.apply(batch);
  owner.batches.apply(begun);
  owner.live.delete('beginner');
  t.deepEqual(owner.isMine(), [false], 'heartbeats may be late after an outage');
  await owner.clock.advance(2_500);
  t.deepEqual(owner.isMine(), [true]);
});

test('a batch whose beginner is stopped goes to its usual owner at once', async (t) => {
  // Hosts are restarted in turn. Waiting for the heartbeats of one that has said good-bye cost the
  // step two seconds.
  const owner = newHost('owner', true);
  await new Promise(setImmediate);
  owner.batches.apply(batch);
  owner.batches.apply(begun);
  owner.left.add('beginner');
  t.deepEqual(owner.isMine(), [true]);
});

test('a batch that another host was told to begin is left to it until its own word is due', async (t) => {
  // Guards against a batch that two hosts run: the store has it first from a host that it came to
  // again, and the word of the host that began it stands some milliseconds later.
  const owner = newHost('owner', true);
  await new Promise(setImmediate);
  owner.batches.noteBeginner(said);
  await owner.clock.advance(5_000);
  owner.batches.apply(batch);
  t.deepEqual(owner.isMine(), [false]);
  owner.batches.apply(begun);
  t.deepEqual(owner.isMine(), [false]);
  owner.left.add('beginner');
  t.deepEqual(owner.isMine(), [true], 'what the log says counts from then on');
});

test('a batch whose beginner never says so goes to its usual owner', async (t) => {
  // Guards against a step that nobody runs: the host that was told to begin it has died.
  const owner = newHost('owner', true);
  await new Promise(setImmediate);
  owner.batches.noteBeginner(said);
  owner.batches.apply(batch);
  await owner.clock.advance(2_500);
  t.deepEqual(owner.isMine(), [true]);
});

test('a batch that was begun and withdrawn leaves nothing behind', (t) => {
  const { batches } = newHost('beginner', false);
  batches.begin(batch);
  batches.withdraw('b');
  t.deepEqual(batches.open(), []);
  batches.apply(batch);
  t.is(batches.open().length, 1);
});

test('a batch that was handed over stays with the host that took it', async (t) => {
  // Hosts are restarted in turn, and the one that left is back before the batch is done. Ownership
  // by name alone would move the batch back at once, and break off all that runs.
  const taker = newHost('taker', false);
  const owner = newHost('owner', true);
  await new Promise(setImmediate);
  [taker, owner].forEach(({ batches, live }) => {
    live.add('taker');
    batches.apply(batch);
    batches.apply(begun);
  });
  t.true(taker.batches.adopt(batch));
  t.deepEqual(taker.isMine(), [true], 'before the log tells');
  const taken = { ...begun, host: 'taker', incarnation: 'taker', from: 'beginner' };
  [taker, owner].forEach(({ batches }) => batches.apply(taken));
  t.deepEqual(taker.isMine(), [true]);
  t.deepEqual(owner.isMine(), [false]);
});

test('a batch that was handed over is not run by its old host, until the new one is gone', async (t) => {
  const old = newHost('owner', true);
  await new Promise(setImmediate);
  old.batches.apply(batch);
  t.deepEqual(old.isMine(), [true]);
  old.batches.noteHandedOver('b');
  t.deepEqual(old.isMine(), [false]);
  old.live.add('taker');
  old.batches.apply({ ...begun, host: 'taker', incarnation: 'taker', from: 'owner' });
  t.deepEqual(old.isMine(), [false]);
  old.left.add('taker');
  t.deepEqual(old.isMine(), [true]);
});

test('an ended batch is not taken over', (t) => {
  const { batches } = newHost('taker', false);
  batches.apply(batch);
  batches.apply({ type: 'batch-end', batch: 'b' });
  t.false(batches.adopt(batch));
});

test('a batch that was handed to a host that died comes back', async (t) => {
  // A host that was cut off hands its batch over, and the other one is killed before it could write
  // that down. The first is back and comes first for the batch; did it go by its own memory for ever,
  // nobody would run the items that are left.
  const old = newHost('owner', true);
  await new Promise(setImmediate);
  old.batches.apply(batch);
  old.batches.noteHandedOver('b');
  old.view.isStanding = true;
  await old.clock.advance(5_000);
  t.deepEqual(old.isMine(), [false], 'while it reads nothing another host runs the batch');
  old.view.isStanding = false;
  t.deepEqual(old.isMine(), [true]);
});
