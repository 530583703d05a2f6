import { newManualClock } from '@cyclamengate/fakes/newManualClock';
import test from 'ava';
import newAssignment from '../src/newAssignment.js';
import newBatches from '../src/newBatches.js';
import newPartialTexts from '../src/newPartialTexts.js';
import newTakeovers from '../src/newTakeovers.js';
import { newBatch, newItem, silentLog } from './helpers.js';

const newHost = (incarnation: string, isOwner: boolean) => {
  const clock = newManualClock();
  const live = new Set(['owner', 'executor']);
  const batches = newBatches({ clock, retentionMs: 120_000, parts: newPartialTexts(clock) });
  const takeovers = newTakeovers({
    clock,
    log: silentLog,
    isOwner: () => isOwner,
    readParts: async () => {},
  });
  const isLive = (otherIncarnation: string): boolean => live.has(otherIncarnation);
  const left = new Set<string>();
  const hasLeft = (host: string): boolean => left.has(host);
  const isLeaving = (): boolean => false;
  const view = { isStale: false, freshAt: clock.now() };
  const freshAt = (): number => {
    if (!view.isStale) view.freshAt = clock.now();
    return view.freshAt;
  };
  const homesOf = () => null;
  const options = { homesOf, clock, incarnation, isLeaving, freshAt, isLive, hasLeft, takeovers };
  const isAssigned = newAssignment(options);
  takeovers.mayBegin('x', null);
  return { clock, live, left, view, batches, isAssigned: () => batches.open().map(isAssigned) };
};

const batch = newBatch('b', [newItem('1')]);
const begun = {
  type: 'batch-begun' as const,
  batch: 'b',
  host: 'executor',
  incarnation: 'executor',
  from: null,
};

const reported = { batch: 'b', host: 'executor', address: '127.0.0.1:1' };

test('a batch that was begun before it was stored is run only by the host that began it', async (t) => {
  // The store recovers when one host has half completed a batch. If the batch's owner ran it too,
  // each text would be generated twice while all items wait for engines.
  const executor = newHost('executor', false);
  executor.batches.begin(batch);
  t.deepEqual(executor.isAssigned(), [true]);
  t.is(executor.batches.get('b'), undefined, 'no caller may be told of it yet');
  const owner = newHost('owner', true);
  await new Promise(setImmediate);
  [executor, owner].forEach(({ batches }) => {
    batches.apply(batch);
    batches.apply(begun);
  });
  t.truthy(executor.batches.get('b'));
  t.deepEqual(executor.isAssigned(), [true]);
  t.deepEqual(owner.isAssigned(), [false]);
});

test('a batch whose executor has died goes to its owner', async (t) => {
  const owner = newHost('owner', true);
  await new Promise(setImmediate);
  owner.batches.apply(batch);
  owner.batches.apply(begun);
  owner.live.delete('executor');
  t.deepEqual(owner.isAssigned(), [false], 'heartbeats may be late after an outage');
  await owner.clock.advance(2_500);
  t.deepEqual(owner.isAssigned(), [true]);
});

test('a batch whose executor is leaving goes to its owner at once', async (t) => {
  // Hosts are restarted one after the other. Waiting for the heartbeats of a host that has
  // announced that it is leaving delayed the step by two seconds.
  const owner = newHost('owner', true);
  await new Promise(setImmediate);
  owner.batches.apply(batch);
  owner.batches.apply(begun);
  owner.left.add('executor');
  t.deepEqual(owner.isAssigned(), [true]);
});

test('a batch that another host was told to begin is left to that host until its record is due', async (t) => {
  // Guards against two hosts running a batch: a third host, which was sent the batch again, stores
  // it first, and the record of the host that began it follows some milliseconds later.
  const owner = newHost('owner', true);
  await new Promise(setImmediate);
  owner.batches.recordExecutor(reported);
  await owner.clock.advance(5_000);
  owner.batches.apply(batch);
  t.deepEqual(owner.isAssigned(), [false]);
  owner.batches.apply(begun);
  t.deepEqual(owner.isAssigned(), [false]);
  owner.left.add('executor');
  t.deepEqual(owner.isAssigned(), [true], 'from then on only the log counts');
});

test('a batch whose executor never writes its record goes to its owner', async (t) => {
  // Guards against a step that no host runs, since the host that was told to begin it has died.
  const owner = newHost('owner', true);
  await new Promise(setImmediate);
  owner.batches.recordExecutor(reported);
  owner.batches.apply(batch);
  await owner.clock.advance(2_500);
  t.deepEqual(owner.isAssigned(), [true]);
});

test('a batch that was begun and withdrawn is removed', (t) => {
  const { batches } = newHost('executor', false);
  batches.begin(batch);
  batches.withdraw('b');
  t.deepEqual(batches.open(), []);
  batches.apply(batch);
  t.is(batches.open().length, 1);
});

test('a batch that was handed over is run only by the host that took it', async (t) => {
  // Hosts are restarted one after the other, and the one that left is back before the batch is
  // complete. Assignment by ownership alone would move the batch back at once and interrupt all its
  // runs.
  const taker = newHost('taker', false);
  const owner = newHost('owner', true);
  await new Promise(setImmediate);
  [taker, owner].forEach(({ batches, live }) => {
    live.add('taker');
    batches.apply(batch);
    batches.apply(begun);
  });
  t.true(taker.batches.takeOver(batch));
  t.deepEqual(taker.isAssigned(), [true], 'before the log has the record');
  const takeover = { ...begun, host: 'taker', incarnation: 'taker', from: 'executor' };
  [taker, owner].forEach(({ batches }) => batches.apply(takeover));
  t.deepEqual(taker.isAssigned(), [true]);
  t.deepEqual(owner.isAssigned(), [false]);
});

test('a batch that was handed over is not run by its previous host until the new host has left', async (t) => {
  const old = newHost('owner', true);
  await new Promise(setImmediate);
  old.batches.apply(batch);
  t.deepEqual(old.isAssigned(), [true]);
  old.batches.markHandedOver('b');
  t.deepEqual(old.isAssigned(), [false]);
  old.live.add('taker');
  old.batches.apply({ ...begun, host: 'taker', incarnation: 'taker', from: 'owner' });
  t.deepEqual(old.isAssigned(), [false]);
  old.left.add('taker');
  t.deepEqual(old.isAssigned(), [true]);
});

test('an ended batch is not taken over', (t) => {
  const { batches } = newHost('taker', false);
  batches.apply(batch);
  batches.apply({ type: 'batch-end', batch: 'b' });
  t.false(batches.takeOver(batch));
});

test('a batch that was handed over to a host that died returns to its owner', async (t) => {
  // A partitioned host hands its batch over, and the new host is killed before it can write its
  // record. The first host, which owns the batch, is reachable again. If it relied on its own
  // memory of the handover for ever, no host would run the remaining items.
  const old = newHost('owner', true);
  await new Promise(setImmediate);
  old.batches.apply(batch);
  old.batches.markHandedOver('b');
  old.view.isStale = true;
  await old.clock.advance(5_000);
  t.deepEqual(
    old.isAssigned(),
    [false],
    'while this host reads nothing another host runs the batch',
  );
  old.view.isStale = false;
  t.deepEqual(old.isAssigned(), [true]);
});
