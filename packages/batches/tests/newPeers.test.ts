import test from 'ava';
import { handover, newCaller, newPeer } from './peerHelpers.js';

test('a batch is handed over to the first host in order of preference that takes it', async (t) => {
  // The first host is unreachable, and the second is leaving as well.
  const leaving = await newPeer('d', false);
  const willing = await newPeer('c', true);
  const unreachable = { host: 'e', failureDomain: 'detroit', address: '127.0.0.1:1', cores: 1 };
  const peers = newCaller([willing.peer, leaving.peer, unreachable]);
  t.is(await peers.handOver(handover), 'c');
  t.is(willing.taken[0]?.batch.items[0]?.path, '/rounds/1');
  t.is(willing.taken[0]?.from, 'a-run');
  t.is(await peers.probeStoreAccess(), 'steady');
  [leaving, willing].forEach(({ server }) => server.close());
});

test('a batch that no host takes is reported as not handed over', async (t) => {
  const leaving = await newPeer('d', false);
  const peers = newCaller([leaving.peer]);
  t.is(await peers.handOver(handover), null);
  t.is(await peers.probeStoreAccess(), 'none');
  leaving.server.close();
});

test('a batch that is sent again is not begun by a second host', async (t) => {
  // The store is unavailable. The first host is busy and answers late, so the sender, which gets no
  // response, sends the batch to another host. If the first host were passed over, both would run
  // the batch and each text would be generated twice.
  const slow = await newPeer('c', true, 250);
  const quick = await newPeer('b', true);
  const first = newCaller([slow.peer, quick.peer]);
  const second = newCaller([quick.peer, slow.peer]);
  await first.begin(handover.batch);
  await second.begin(handover.batch);
  t.deepEqual([...slow.begun], ['b']);
  t.deepEqual([...quick.begun], []);
  [slow, quick].forEach(({ server }) => server.close());
});

test('an unreachable host is passed over, and a batch that another host has begun stays with that host', async (t) => {
  // One caller cannot reach the first host and has the second begin the batch. Another caller
  // reaches both, and must find out that the second already runs the batch.
  const first = await newPeer('c', true);
  const second = await newPeer('b', true);
  const unreachable = { ...first.peer, address: '127.0.0.1:1', cores: 1 };
  await newCaller([unreachable, second.peer]).begin(handover.batch);
  await newCaller([first.peer, second.peer]).begin(handover.batch);
  t.deepEqual([...first.begun], []);
  t.deepEqual([...second.begun], ['b']);
  [first, second].forEach(({ server }) => server.close());
});

test('hosts that may come to run a batch are told which host has begun it', async (t) => {
  // Guards against two hosts running a batch: a third host stores it first, without a record of who
  // runs it.
  const first = await newPeer('c', true);
  const second = await newPeer('b', true);
  await newCaller([first.peer, second.peer]).begin(handover.batch);
  while (second.executorReports.length === 0) await new Promise(setImmediate);
  t.deepEqual(second.executorReports, ['b at c']);
  t.deepEqual(first.executorReports, []);
  [first, second].forEach(({ server }) => server.close());
});

test('a batch stays with the host that began it even for a host that has not read its heartbeat', async (t) => {
  // Guards against two hosts running a batch: one of them started just before the store became
  // unavailable, and not all others have read its heartbeat.
  const unread = await newPeer('c', true);
  const known = await newPeer('b', true);
  await newCaller([unread.peer, known.peer]).begin(handover.batch);
  const { address } = unread.peer;
  await newCaller([known.peer], { batch: 'b', host: 'c', address }).begin(handover.batch);
  t.deepEqual([...known.begun], []);
  [unread, known].forEach(({ server }) => server.close());
});

test('a batch that is sent while the first host is leaving is begun by the next', async (t) => {
  // Guards against a step that no host runs: hosts are restarted one after the other while the
  // store is unavailable, and the leaving host is told to begin the batch each time that it is
  // sent.
  const leaving = await newPeer('c', false);
  const next = await newPeer('b', true);
  await newCaller([leaving.peer, next.peer]).begin(handover.batch);
  t.deepEqual([...next.begun], ['b']);
  [leaving, next].forEach(({ server }) => server.close());
});

test('other hosts announce that a partitioned host takes no new work', async (t) => {
  // The store rejects one host. New steps of its models would wait until its heartbeat expires.
  const other = await newPeer('c', true);
  const peers = newCaller([other.peer]);
  const heartbeat = {
    type: 'heartbeat' as const,
    host: 'a',
    incarnation: 'a-run',
    number: 1,
    failureDomain: 'detroit',
    address: '127.0.0.1:1',
    cores: 1,
    isLeaving: true,
    running: {},
    usage: {},
    countedThrough: 0,
  };
  t.true(await peers.announce(heartbeat));
  t.deepEqual(other.announced, ['a']);
  other.server.close();
  t.false(await newCaller([]).announce(heartbeat));
});

test('peers return newer settings and exchange what they know of crashed upstreams', async (t) => {
  const other = await newPeer('b', true);
  t.teardown(() => other.server.close());
  const caller = newCaller([other.peer]);
  t.deepEqual(await caller.fetchNewerSettings(1), ['version 2']);
  t.deepEqual(await caller.fetchNewerSettings(2), []);
  t.deepEqual(await caller.fetchEvacuations(), [
    { failureDomain: 'detroit', isEvacuated: true, offset: 7 },
  ]);
  const crash = { digest: 'deadly', upstream: 'a@1', endedAt: 1, weight: 1, work: 'call' as const };
  t.deepEqual(await caller.exchangeCrashes([crash]), []);
  t.deepEqual(await caller.exchangeCrashes([]), [crash]);
});
