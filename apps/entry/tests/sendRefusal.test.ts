import { once } from 'node:events';
import { createServer } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';
import { connect } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { readBody } from '@cyclamengate/common/readBody';
import { notRun } from '@cyclamengate/routing/refusal';
import test from 'ava';
import { sendRefusal } from '../src/sendRefusal.js';

const LIMIT_BYTES = 1_000;
const BODY_BYTES = 4_000_000;
const PART_BYTES = 40_000;
const BODY_TIMEOUT_MS = 60_000;
const HEAD = `POST / HTTP/1.1\r\nhost: x\r\ncontent-length: ${BODY_BYTES}\r\n\r\n`;

/** A server that refuses every body over its limit. */
const startServer = async () => {
  const server = createServer(async (request, response) => {
    const body = await readBody(request, LIMIT_BYTES, BODY_TIMEOUT_MS);
    if (body.ok) response.end('taken');
    else sendRefusal(response, notRun('too-large', 'body refused'), 'request-1', 0);
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  return server;
};

/** A sender that writes on when the server has ended its side, as HTTP clients do. */
const openSender = async (port: number) => {
  const socket: Socket = connect({ port, host: '127.0.0.1', allowHalfOpen: true });
  const seen = { text: '', faults: [] as string[], isClosed: false };
  socket.on('data', (chunk: Buffer) => {
    seen.text += chunk.toString();
  });
  socket.on('error', ({ message }) => seen.faults.push(message));
  socket.on('close', () => {
    seen.isClosed = true;
  });
  await once(socket, 'connect');
  return { socket, seen };
};

// A sender of a large body writes on after the refusal. A close at once resets its connection, and it
// sees EPIPE in place of the answer.
test('the refusal of a large body reaches a sender that writes to the end', async (t) => {
  const server = await startServer();
  t.teardown(() => server.close());
  const { socket, seen } = await openSender((server.address() as AddressInfo).port);
  socket.write(HEAD);
  for (let sent = 0; sent < BODY_BYTES; sent += PART_BYTES) {
    socket.write(Buffer.alloc(PART_BYTES));
    await sleep(5);
  }
  socket.end();
  while (!seen.isClosed) await sleep(5);
  t.deepEqual(seen.faults, []);
  t.regex(seen.text, /^HTTP\/1\.1 413/);
  t.regex(seen.text, /connection: close/i);
  t.regex(seen.text, /"outcome":"not-run"/);
});

// A sender that never comes to an end would hold its connection for ever once it was refused.
test('a refused sender that does not end its body has its answer at once and is cut off', async (t) => {
  const server = await startServer();
  t.teardown(() => server.close());
  const { socket, seen } = await openSender((server.address() as AddressInfo).port);
  socket.write(HEAD + 'x'.repeat(PART_BYTES));
  await once(socket, 'data');
  t.regex(seen.text, /^HTTP\/1\.1 413/);
  t.false(seen.isClosed);
  await once(socket, 'end');
  t.deepEqual(seen.faults, []);
  socket.destroy();
});
