import { once } from 'node:events';
import { createServer } from 'node:net';
import type { AddressInfo, Socket } from 'node:net';
import test from 'ava';
import newBlackHole from './newBlackHole.js';
import { handover, newCaller, newPeer } from './peerHelpers.js';

/** Longer than a host that is not busy ever needs. */
const LATE_MS = 1_000;
/** With three hosts in turn cut off, a step of some seconds is still in time. */
const CUT_NOTICED_MS = 700;

test('a host that needs a second to answer is not taken for one that has not begun', async (t) => {
  // Guards against a batch that two hosts run: the first in turn is busy, and the next one begins.
  const late = await newPeer('c', true, LATE_MS);
  const quick = await newPeer('b', true);
  await newCaller([late.peer, quick.peer]).begin(handover.batch);
  t.deepEqual([...late.begun], ['b']);
  t.deepEqual([...quick.begun], []);
  [late, quick].forEach(({ server }) => server.close());
});

test('a host that was late once is asked again whether it has begun', async (t) => {
  // Guards against a batch that two hosts run: the one that runs it was late in another matter.
  const late = await newPeer('c', true, LATE_MS);
  const quick = await newPeer('b', true);
  const first = newCaller([late.peer]);
  const second = newCaller([late.peer, quick.peer]);
  await first.begin(handover.batch);
  await second.touch();
  await second.begin(handover.batch);
  t.deepEqual([...quick.begun], []);
  [late, quick].forEach(({ server }) => server.close());
});

test('a batch that a late host takes is not handed to the next one as well', async (t) => {
  // Guards against a batch that two hosts take over from one that leaves: each of them runs it.
  const late = await newPeer('c', true, LATE_MS);
  const quick = await newPeer('b', true);
  t.is(await newCaller([late.peer, quick.peer]).handOver(handover), 'c');
  t.deepEqual(quick.taken, []);
  [late, quick].forEach(({ server }) => server.close());
});

test('a host that never answers is passed over in the end', async (t) => {
  // Guards against a step that nobody runs: the first host in turn is suspended for long.
  const suspended = createServer(() => {});
  suspended.listen(0, '127.0.0.1');
  await once(suspended, 'listening');
  const { port } = suspended.address() as AddressInfo;
  const peer = { host: 'c', failureDomain: 'detroit', address: `127.0.0.1:${port}`, cores: 1 };
  const quick = await newPeer('b', true);
  await newCaller([peer, quick.peer]).begin(handover.batch);
  t.deepEqual([...quick.begun], ['b']);
  quick.server.close();
  suspended.close();
});

test('a call whose connection went silent is made again on a new one', async (t) => {
  // Guards against a batch that waits in vain: the connection hangs, the host at its end is well.
  const peer = await newPeer('c', true);
  const [answer] = peer.server.listeners('request') as ((...args: unknown[]) => void)[];
  peer.server.removeAllListeners('request');
  let calls = 0;
  peer.server.on('request', (...args) => {
    calls += 1;
    if (calls > 1) answer?.(...args);
  });
  t.is(await newCaller([peer.peer]).handOver(handover), 'c');
  peer.server.closeAllConnections();
  peer.server.close();
});

test('a host that answers in time is not looked for besides', async (t) => {
  // Guards against a second connection for every call between hosts.
  const peer = await newPeer('c', true);
  const unused = new Set<Socket>();
  peer.server.on('connection', (socket: Socket) => unused.add(socket));
  peer.server.on('request', ({ socket }) => unused.delete(socket));
  const caller = newCaller([peer.peer]);
  t.is(await caller.handOver(handover), 'c');
  t.is(await caller.touch(), 'steady');
  t.is(await caller.touch(), 'steady');
  t.is(unused.size, 0);
  peer.server.closeAllConnections();
  peer.server.close();
});

test('a host beyond a cut is passed over within a fraction of a second', async (t) => {
  // Guards against a step that loses a second for each host in turn that is cut off.
  const cut = await newBlackHole();
  t.teardown(cut.close);
  const quick = await newPeer('b', true);
  const peer = { host: 'c', failureDomain: 'detroit', address: cut.address, cores: 1 };
  const times: number[] = [];
  for (let round = 0; round < 3; round += 1) {
    const startedAt = performance.now();
    await newCaller([peer, quick.peer]).begin(handover.batch);
    times.push(performance.now() - startedAt);
  }
  t.deepEqual([...quick.begun], ['b']);
  // A busy machine may hold up a round, not all of them.
  t.true(Math.min(...times) < CUT_NOTICED_MS, String(times));
  quick.server.close();
});
