import { createServer } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';
import { createServer as createTcpServer } from 'node:net';
import test from 'ava';
import { z } from 'zod';
import newHttpCaller from '../src/newHttpCaller.js';

const TIMEOUT_MS = 400;

/** A platform that notes the whole bodies it was sent. */
const startPlatform = async () => {
  const bodies: string[] = [];
  const server = createServer((request, response) => {
    const chunks: Buffer[] = [];
    request.on('error', () => undefined);
    request.on('data', (chunk: Buffer) => chunks.push(chunk));
    request.on('end', () => {
      bodies.push(Buffer.concat(chunks).toString());
      response.end('{}');
    });
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const { port } = server.address() as AddressInfo;
  return { bodies, url: `http://127.0.0.1:${port}`, close: () => server.close() };
};

// The lease ends after the order was decided, while its connection is still being opened. The naive way
// sends it all the same, beside the successor's.
test('an order whose lease ends before it is written is never sent whole', async (t) => {
  const platform = await startPlatform();
  t.teardown(platform.close);
  const caller = newHttpCaller(platform.url, TIMEOUT_MS);
  let asked = 0;
  const answer = await caller.order('/orders', z.unknown(), { wanted: 6 }, () => {
    asked += 1;
    return false;
  });
  t.is(asked, 1);
  t.deepEqual(answer.ok ? null : answer.val, 'not-sent');
  t.deepEqual(platform.bodies, []);
  const held = await caller.order('/orders', z.unknown(), { wanted: 6 }, () => true);
  t.true(held.ok);
  t.deepEqual(platform.bodies, ['{"wanted":6}']);
  await caller.close();
});

// The platform takes the connection and says nothing. Closed in the ordinary way, what is still in the
// send buffer would arrive after the successor's order.
test('an order that runs into its timeout resets its connection', async (t) => {
  const seen: Promise<string>[] = [];
  const server = createTcpServer((socket: Socket) => {
    seen.push(
      new Promise((resolve) => {
        socket.on('error', (error: NodeJS.ErrnoException) => resolve(error.code ?? ''));
        socket.on('end', () => resolve('closed in good order'));
      }),
    );
    socket.resume();
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  t.teardown(() => server.close());
  const caller = newHttpCaller(
    `http://127.0.0.1:${(server.address() as AddressInfo).port}`,
    TIMEOUT_MS,
  );
  const answer = await caller.order('/orders', z.unknown(), { wanted: 6 }, () => true);
  t.is(answer.ok ? '' : answer.val, 'unknown');
  t.is(await seen[0], 'ECONNRESET');
  await caller.close();
});

test('a call that found nobody is told apart from one that may have had its effect', async (t) => {
  const platform = await startPlatform();
  platform.close();
  const caller = newHttpCaller(platform.url, TIMEOUT_MS);
  const answer = await caller.call('GET', '/orders', z.unknown());
  t.is(answer.ok ? '' : answer.val, 'not-sent');
});
