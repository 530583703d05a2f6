import { once } from 'node:events';
import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import { readBody } from '@cyclamengate/common/readBody';
import newRawSender from '@cyclamengate/fakes/newRawSender';
import { notRun } from '@cyclamengate/routing/refusal';
import test from 'ava';
import { sendRefusal } from '../src/sendRefusal.js';

const LIMIT_BYTES = 1_000;
const BODY_BYTES = 4_000_000;
const BODY_TIMEOUT_MS = 60_000;
const HEAD = `POST / HTTP/1.1\r\nhost: x\r\ncontent-length: ${BODY_BYTES}\r\n\r\n`;

/** Starts a server that refuses every body over its limit. */
const startServer = async () => {
  const server = createServer(async (request, response) => {
    const body = await readBody(request, LIMIT_BYTES, BODY_TIMEOUT_MS);
    if (body.ok) response.end('taken');
    else sendRefusal(response, notRun('too-large', 'body refused'), 'request-1', 0);
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  return { close: () => server.close(), port: (server.address() as AddressInfo).port };
};

// Guards against closing the connection immediately: this resets it, and a client that is still
// sending a large body gets EPIPE instead of the answer.
test('the refusal of a large body reaches a client that sends all of it', async (t) => {
  const { port, close } = await startServer();
  t.teardown(close);
  const { socket, faults, closed, takeText, writeBody } = await newRawSender('127.0.0.1', port);
  socket.write(HEAD);
  await writeBody(BODY_BYTES);
  await closed;
  t.deepEqual(faults, []);
  const answer = takeText();
  t.regex(answer, /^HTTP\/1\.1 413/);
  t.regex(answer, /connection: close/i);
  t.regex(answer, /"outcome":"not-run"/);
});

// Guards against a refused client that never ends its body and so keeps its connection open forever.
test('a refused client that never ends its body is answered at once and disconnected', async (t) => {
  const { port, close } = await startServer();
  t.teardown(close);
  const { socket, faults, takeText } = await newRawSender('127.0.0.1', port);
  socket.write(HEAD + 'x'.repeat(2 * LIMIT_BYTES));
  await once(socket, 'data');
  t.regex(takeText(), /^HTTP\/1\.1 413/);
  t.false(socket.readableEnded);
  await once(socket, 'end');
  t.deepEqual(faults, []);
  socket.destroy();
});
