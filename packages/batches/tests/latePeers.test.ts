import { once } from 'node:events';
import { createServer } from 'node:net';
import type { AddressInfo, Socket } from 'node:net';
import test from 'ava';
import newUnreachableAddress from './newUnreachableAddress.js';
import { handover, newCaller, newPeer } from './peerHelpers.js';

/** Longer than a host that is not busy needs to answer. */
const LATE_ANSWER_MS = 1_000;
/** With three unreachable hosts in succession, a step of some seconds is still in time. */
const MAX_PASS_OVER_MS = 700;

test('a host that takes a second to answer is not assumed not to have begun a batch', async (t) => {
  // Guards against two hosts running a batch: the first host is busy, and the next one begins the
  // batch too.
  const late = await newPeer('c', true, LATE_ANSWER_MS);
  const quick = await newPeer('b', true);
  await newCaller([late.peer, quick.peer]).begin(handover.batch);
  t.deepEqual([...late.begun], ['b']);
  t.deepEqual([...quick.begun], []);
  [late, quick].forEach(({ server }) => server.close());
});

test('a host that was late once is asked again whether it has begun a batch', async (t) => {
  // Guards against two hosts running a batch: the host that runs it was late in answering another
  // call.
  const late = await newPeer('c', true, LATE_ANSWER_MS);
  const quick = await newPeer('b', true);
  const first = newCaller([late.peer]);
  const second = newCaller([late.peer, quick.peer]);
  await first.begin(handover.batch);
  await second.probeStoreAccess();
  await second.begin(handover.batch);
  t.deepEqual([...quick.begun], []);
  [late, quick].forEach(({ server }) => server.close());
});

test('a batch that a late host takes over is not handed to the next host as well', async (t) => {
  // Guards against two hosts running a batch that both took over from a host that is leaving.
  const late = await newPeer('c', true, LATE_ANSWER_MS);
  const quick = await newPeer('b', true);
  t.is(await newCaller([late.peer, quick.peer]).handOver(handover), 'c');
  t.deepEqual(quick.taken, []);
  [late, quick].forEach(({ server }) => server.close());
});

test('a host that never answers is passed over after a timeout', async (t) => {
  // Guards against a step that no host runs, since the first host is suspended for a long time.
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

test('a call on a dead connection is made again on a new one', async (t) => {
  // Guards against a batch that is delayed: the connection hangs although the host at its other
  // end is healthy.
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

test('a host that answers in time is not probed', async (t) => {
  // Guards against a second connection for every call between hosts.
  const peer = await newPeer('c', true);
  const unused = new Set<Socket>();
  peer.server.on('connection', (socket: Socket) => unused.add(socket));
  peer.server.on('request', ({ socket }) => unused.delete(socket));
  const caller = newCaller([peer.peer]);
  t.is(await caller.handOver(handover), 'c');
  t.is(await caller.probeStoreAccess(), 'steady');
  t.is(await caller.probeStoreAccess(), 'steady');
  t.is(unused.size, 0);
  peer.server.closeAllConnections();
  peer.server.close();
});

test('a host behind a network partition is passed over within a fraction of a second', async (t) => {
  // Guards against a step that loses a second for each unreachable host.
  const unreachable = await newUnreachableAddress();
  t.teardown(unreachable.close);
  const quick = await newPeer('b', true);
  const peer = { host: 'c', failureDomain: 'detroit', address: unreachable.address, cores: 1 };
  const times: number[] = [];
  for (let round = 0; round < 3; round += 1) {
    const startedAt = performance.now();
    await newCaller([peer, quick.peer]).begin(handover.batch);
    times.push(performance.now() - startedAt);
  }
  t.deepEqual([...quick.begun], ['b']);
  // A busy machine may delay one round, but not all of them.
  t.true(Math.min(...times) < MAX_PASS_OVER_MS, String(times));
  quick.server.close();
});
