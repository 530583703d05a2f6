import { newManualClock } from '@cyclamengate/fakes/newManualClock';
import newMemoryStore, { newNoFaults } from '@cyclamengate/store/newMemoryStore';
import newStoreWriter from '@cyclamengate/store/newStoreWriter';
import type { WriteOutcome } from '@cyclamengate/store/newStoreWriter';
import test from 'ava';
import newBatchKeeper from '../src/newBatchKeeper.js';
import { choosePeers } from '../src/newPeers.js';
import { newBatch, newItem, silentLog } from './helpers.js';

const newParts = (peers: () => WriteOutcome) => {
  const clock = newManualClock();
  const memory = newMemoryStore();
  const faults = newNoFaults();
  const store = memory.newView(faults);
  const writer = newStoreWriter({ clock, log: silentLog, store, topic: 'b', producer: 'host-1' });
  const calls: string[] = [];
  const state = { isLeaving: false };
  const keeper = newBatchKeeper({
    clock,
    log: silentLog,
    write: (record, deadline) => writer.write([Buffer.from(JSON.stringify(record))], deadline),
    askPeers: async () => {
      calls.push('ask');
      return peers();
    },
    begin: ({ id }) => calls.push(`begin ${id}`),
    withdraw: (id) => calls.push(`withdraw ${id}`),
    isLeaving: () => state.isLeaving,
  });
  const caller = new AbortController();
  const keep = (patienceMs: number): Promise<WriteOutcome> =>
    keeper.keep(newBatch('b', [newItem('1')]), clock.now() + patienceMs, caller.signal);
  return { clock, memory, faults, calls, caller, state, keep };
};

test('a batch is kept at once while the store is there', async (t) => {
  const { clock, calls, keep } = newParts(() => 'written');
  const outcome = keep(9_000);
  await clock.advance(1);
  t.is(await outcome, 'written');
  t.deepEqual(calls, []);
});

test('a batch that comes to a host which the store turns away is kept through another', async (t) => {
  // The store refuses a third of the hosts for nine seconds. The trainer that came to one of them
  // was refused, tried once more, and lost its step.
  const { clock, faults, calls, keep } = newParts(() => 'written');
  faults.isRefusing = true;
  const outcome = keep(9_000);
  await clock.advance(1_000);
  t.is(await outcome, 'written');
  t.deepEqual(calls, ['ask']);
});

test('a batch that comes while the store is away for all runs meanwhile and is kept after it', async (t) => {
  // The store is down for six seconds, and a step arrives at the start. Refused, it is lost; its
  // items have all that they need to run, but for a place to be kept.
  const { clock, memory, faults, calls, keep } = newParts(() => 'not-written');
  faults.isRefusing = true;
  const outcome = keep(11_000);
  await clock.advance(6_000);
  t.deepEqual(calls.slice(0, 2), ['ask', 'begin b']);
  faults.isRefusing = false;
  await clock.advance(1_000);
  t.is(await outcome, 'written');
  t.false(calls.includes('withdraw b'));
  t.is(memory.bodies('b').length, 1);
});

test('a batch that was begun is never said not to have run', async (t) => {
  // The outage outlasts the trainer's patience. The host knows that the store has nothing, but some
  // items have run: "not run" would be false.
  const { clock, faults, calls, keep } = newParts(() => 'not-written');
  faults.isRefusing = true;
  const outcome = keep(3_000);
  await clock.advance(4_000);
  t.is(await outcome, 'unknown');
  t.is(calls.at(-1), 'withdraw b');
});

test('a batch of a caller that has left does not go on running unkept', async (t) => {
  const { clock, faults, calls, caller, keep } = newParts(() => 'not-written');
  faults.isSilent = true;
  const outcome = keep(9_000);
  await clock.advance(1_500);
  caller.abort();
  t.is(await outcome, 'unknown');
  t.is(calls.at(-1), 'withdraw b');
});

test('a host that is leaving neither begins a batch nor holds its caller', async (t) => {
  const { clock, faults, calls, state, keep } = newParts(() => 'unknown');
  state.isLeaving = true;
  faults.isSilent = true;
  const outcome = keep(9_000);
  await clock.advance(1_000);
  t.is(await outcome, 'unknown');
  t.deepEqual(calls, ['ask']);
});

test('peers of other failure domains are asked first', (t) => {
  const peer = (host: string, failureDomain: string) => ({ host, failureDomain, address: '' });
  const peers = [peer('a', 'x'), peer('b', 'x'), peer('c', 'y'), peer('d', 'z')];
  const chosen = choosePeers(peers, 'x', () => 0.5);
  t.deepEqual(chosen.map(({ host }) => host).slice(0, 2), ['c', 'd']);
  t.is(chosen.length, 3);
});
