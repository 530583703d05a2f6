import { once } from 'node:events';
import { createServer } from 'node:net';
import type { AddressInfo, Socket } from 'node:net';
import test from 'ava';
import newHttpPlainService from '../src/newHttpPlainService.js';
import type { ServiceCall } from '../src/serviceCall.js';

const CALL: ServiceCall = {
  requestId: '1',
  customer: 'museum',
  method: 'POST',
  path: '/lookup/1',
  contentType: 'text/plain',
  body: Buffer.from('hello'),
};
const HEAD = 'HTTP/1.1 200 OK\r\n';

/** Calls an upstream whose answer `answer` writes, and counts its connections. */
const newUpstream = async (answer: (socket: Socket) => void) => {
  const connections = { count: 0 };
  const server = createServer((socket) => {
    connections.count += 1;
    socket.on('error', () => {});
    socket.on('data', () => answer(socket));
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const service = newHttpPlainService();
  const url = `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
  const call = (needsFreshConnection = false) =>
    service.call(url, CALL, needsFreshConnection, new AbortController().signal);
  return { call, connections, close: () => server.close() };
};

test('half an answer without a length that a reset ends is not taken for a whole one', async (t) => {
  // Guards against truncated answers: the upstream crashes and the reset arrives with the last bytes.
  const upstream = await newUpstream((socket) => {
    socket.write(`${HEAD}connection: close\r\n\r\nhal`, () => socket.resetAndDestroy());
  });
  t.teardown(upstream.close);
  const answer = await upstream.call();
  t.false(answer.ok);
  t.is(answer.val, 'broken');
});

test('an answer without a length is whole if the upstream closes the connection', async (t) => {
  const upstream = await newUpstream((socket) => {
    socket.end(`${HEAD}connection: close\r\n\r\nwhole`);
  });
  t.teardown(upstream.close);
  const answer = await upstream.call();
  t.is(answer.ok && answer.val.body.toString(), 'whole');
});

test('a call that must not be lost gets a connection of its own, others share one', async (t) => {
  const upstream = await newUpstream((socket) => {
    socket.write(`${HEAD}content-length: 2\r\n\r\nok`);
  });
  t.teardown(upstream.close);
  await upstream.call();
  await upstream.call();
  t.is(upstream.connections.count, 1);
  await upstream.call(true);
  t.is(upstream.connections.count, 2);
});
