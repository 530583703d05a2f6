import newTestMemory from '@cyclamengate/fakes/newTestMemory';
import test from 'ava';
import { request } from 'undici';
import { newItem } from './helpers.js';
import { handover, newCaller, newPeer } from './peerHelpers.js';

const LARGE_ITEM = newItem('1', { body: Buffer.alloc(600_000).toString('base64') });
const TOO_LARGE_BYTES = 7_000_000;

test('a call for which a host has no memory is refused, and small ones are served', async (t) => {
  // Guards against calls of several peers that end a host together: each brings a batch.
  const memory = newTestMemory(2_000_000);
  const { peer, begun, server } = await newPeer('b', true, 0, memory);
  t.teardown(() => server.close());
  const caller = newCaller([peer]);
  const { batch } = handover;
  await caller.begin({ ...batch, id: 'large', items: [LARGE_ITEM] });
  t.deepEqual([...begun], []);
  await caller.begin(batch);
  t.deepEqual([...begun], ['b']);
  t.is(memory.heldBytes('bodies'), 0);
});

test('a call that is larger than any host sends is refused', async (t) => {
  const memory = newTestMemory();
  const { peer, server } = await newPeer('b', true, 0, memory);
  t.teardown(() => server.close());
  const answer = await request(`http://${peer.address}/trpc/begin`, {
    method: 'POST',
    headers: { 'content-type': 'application/json' },
    body: JSON.stringify('x'.repeat(TOO_LARGE_BYTES)),
  });
  t.is(answer.statusCode, 413);
  await answer.body.dump();
});
