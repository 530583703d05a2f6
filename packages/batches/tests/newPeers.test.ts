import test from 'ava';
import { handover, newCaller, newPeer } from './peerHelpers.js';

test('a batch goes to the first host in turn that takes it', async (t) => {
  // The first one is gone, the second is stopped as well.
  const leaving = await newPeer('d', false);
  const willing = await newPeer('c', true);
  const gone = { host: 'e', failureDomain: 'detroit', address: '127.0.0.1:1', cores: 1 };
  const peers = newCaller([willing.peer, leaving.peer, gone]);
  t.is(await peers.handOver(handover), 'c');
  t.is(willing.taken[0]?.batch.items[0]?.path, '/rounds/1');
  t.is(willing.taken[0]?.from, 'a-run');
  t.is(await peers.touch(), 'steady');
  [leaving, willing].forEach(({ server }) => server.close());
});

test('a batch that nobody takes is said to be with nobody', async (t) => {
  const leaving = await newPeer('d', false);
  const peers = newCaller([leaving.peer]);
  t.is(await peers.handOver(handover), null);
  t.is(await peers.touch(), 'none');
  leaving.server.close();
});

test('a batch that comes again is not begun by a second host', async (t) => {
  // The store is away. The first host in turn is busy and answers late, so its sender, which hears
  // nothing, brings the batch to another host. Passed over, the first host and the second would both
  // run the batch, and each text would be made twice.
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

test('a host that is cut off is passed over, and what another has begun stays with it', async (t) => {
  // One caller can't reach the first host in turn, and has the second begin. Another caller reaches
  // both, and must find out that the second runs the batch already.
  const first = await newPeer('c', true);
  const second = await newPeer('b', true);
  const cut = { ...first.peer, address: '127.0.0.1:1', cores: 1 };
  await newCaller([cut, second.peer]).begin(handover.batch);
  await newCaller([first.peer, second.peer]).begin(handover.batch);
  t.deepEqual([...first.begun], []);
  t.deepEqual([...second.begun], ['b']);
  [first, second].forEach(({ server }) => server.close());
});

test('hosts that may come to run a batch hear who has begun it', async (t) => {
  // Guards against a batch that two hosts run: the store has it from a third one first, without a
  // word of who runs it.
  const first = await newPeer('c', true);
  const second = await newPeer('b', true);
  await newCaller([first.peer, second.peer]).begin(handover.batch);
  while (second.heard.length === 0) await new Promise(setImmediate);
  t.deepEqual(second.heard, ['b at c']);
  t.deepEqual(first.heard, []);
  [first, second].forEach(({ server }) => server.close());
});

test('a batch stays with the host that began it also for one that knows that host by hearsay only', async (t) => {
  // Guards against a batch that two hosts run: one of them came just before the store went away, and
  // not all others have read its heartbeat.
  const unread = await newPeer('c', true);
  const known = await newPeer('b', true);
  await newCaller([unread.peer, known.peer]).begin(handover.batch);
  const { address } = unread.peer;
  await newCaller([known.peer], { batch: 'b', host: 'c', address }).begin(handover.batch);
  t.deepEqual([...known.begun], []);
  [unread, known].forEach(({ server }) => server.close());
});

test('a batch that comes while the first host in turn leaves is begun by the next', async (t) => {
  // Guards against a step that nobody runs: hosts are restarted in turn while the store is away, and
  // each time that the batch comes the one that leaves is told to begin it.
  const leaving = await newPeer('c', false);
  const next = await newPeer('b', true);
  await newCaller([leaving.peer, next.peer]).begin(handover.batch);
  t.deepEqual([...next.begun], ['b']);
  [leaving, next].forEach(({ server }) => server.close());
});

test('others write down that a host that is cut off takes no new work', async (t) => {
  // The store turns one host away. New steps of its models would wait for the life of a heartbeat.
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
