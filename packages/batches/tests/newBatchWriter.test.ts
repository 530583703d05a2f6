import { newManualClock } from '@cyclamengate/fakes/newManualClock';
import newMemoryStore, { newNoFaults } from '@cyclamengate/store/newMemoryStore';
import newStoreWriter from '@cyclamengate/store/newStoreWriter';
import type { WriteOutcome } from '@cyclamengate/store/newStoreWriter';
import test from 'ava';
import newBatchWriter from '../src/newBatchWriter.js';
import { choosePeers } from '../src/newPeers.js';
import { newBatch, newItem, silentLog } from './helpers.js';

const newFixture = (peers: WriteOutcome) => {
  const clock = newManualClock();
  const memory = newMemoryStore();
  const faults = newNoFaults();
  const store = memory.newView(faults);
  const writer = newStoreWriter({ clock, log: silentLog, store, topic: 'b', producer: 'host-1' });
  const calls: string[] = [];
  const batchWriter = newBatchWriter({
    clock,
    log: silentLog,
    writeHere: (record, deadline) => writer.write([Buffer.from(JSON.stringify(record))], deadline),
    askPeers: async () => {
      calls.push('ask');
      return peers;
    },
    begin: async ({ id }) => {
      calls.push(`begin ${id}`);
    },
  });
  const writeBatch = () => batchWriter.write(newBatch('b', [newItem('1')]), clock.now() + 900);
  const writeEnd = () => batchWriter.write({ type: 'batch-end', batch: 'b' }, clock.now() + 900);
  return { clock, memory, faults, calls, writeBatch, writeEnd };
};

test('a batch is written at once while the store is available', async (t) => {
  const { clock, calls, writeBatch } = newFixture('written');
  const outcome = writeBatch();
  await clock.advance(1);
  t.is(await outcome, 'written');
  t.deepEqual(calls, []);
});

test('a batch that is sent to a host that the store rejects is written through another host', async (t) => {
  // The store rejects a third of the hosts for nine seconds. A trainer that contacted one of them
  // was refused, retried once, and lost its step.
  const { clock, faults, calls, writeBatch } = newFixture('written');
  faults.isRefusing = true;
  const outcome = writeBatch();
  await clock.advance(350);
  t.is(await outcome, 'written');
  t.deepEqual(calls, ['ask']);
});

test('a batch that is sent during a general store outage is begun, and not reported as refused', async (t) => {
  // The store is down for six seconds, and a step is sent at the start. If it is refused it is
  // lost, although its items can run without being stored. Once they may run, "not run" would be
  // false even if the store certainly does not have the batch.
  const { clock, faults, calls, writeBatch } = newFixture('not-written');
  faults.isRefusing = true;
  const outcome = writeBatch();
  await clock.advance(600);
  t.deepEqual(calls, ['ask', 'begin b']);
  await clock.advance(600);
  t.is(await outcome, 'unknown');
});

test("a batch is still written if the store recovers within the caller's timeout", async (t) => {
  const { clock, memory, faults, writeBatch } = newFixture('not-written');
  faults.isRefusing = true;
  const outcome = writeBatch();
  await clock.advance(500);
  faults.isRefusing = false;
  await clock.advance(500);
  t.is(await outcome, 'written');
  t.is(memory.bodies('b').length, 1);
});

test("a host that could not run does not take its own delay for the store's", async (t) => {
  // Guards against peers that are asked for, and hosts that begin, a batch that the store has
  // acknowledged: its host was short of processor time and had not read the answer.
  const clock = newManualClock();
  const calls: string[] = [];
  let acknowledge = (_outcome: WriteOutcome): void => {};
  const { write } = newBatchWriter({
    clock,
    log: silentLog,
    writeHere: () =>
      new Promise((resolve) => {
        acknowledge = resolve;
      }),
    askPeers: async () => {
      calls.push('ask');
      return 'unknown';
    },
    begin: async () => {
      calls.push('begin');
    },
  });
  const outcome = write(newBatch('b', [newItem('1')]), clock.now() + 900);
  clock.jump(700);
  await clock.advance(1);
  acknowledge('written');
  t.is(await outcome, 'written');
  t.deepEqual(calls, []);
});

test('an end that no host could write is reported as not written', async (t) => {
  const { clock, faults, calls, writeEnd } = newFixture('not-written');
  faults.isRefusing = true;
  const outcome = writeEnd();
  await clock.advance(1_200);
  t.is(await outcome, 'not-written');
  t.deepEqual(calls, ['ask'], 'an end does not begin a batch');
});

test('peers of other failure domains are asked first', (t) => {
  const peer = (host: string, failureDomain: string) => ({
    host,
    failureDomain,
    address: '',
    cores: 1,
  });
  const peers = [peer('a', 'x'), peer('b', 'x'), peer('c', 'y'), peer('d', 'z')];
  const chosen = choosePeers(peers, 'x', () => 0.5);
  t.deepEqual(chosen.map(({ host }) => host).slice(0, 2), ['c', 'd']);
  t.is(chosen.length, 3);
});
