import { createServer } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';
import { connect, createServer as createTcpServer } from 'node:net';
import test from 'ava';
import { z } from 'zod';
import newHttpCaller from '../src/newHttpCaller.js';

const TIMEOUT_MS = 400;
/** For calls that are answered, also by a process that is short of processor time. */
const AMPLE_TIMEOUT_MS = 10_000;

/** A platform that records the complete bodies it receives. */
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

// The lease ends after the decision to send an order, while the connection is still being opened.
// Without a second check, the order would compete with the successor's.
test('an order whose lease ends before it is written is never sent completely', async (t) => {
  const platform = await startPlatform();
  t.teardown(platform.close);
  const caller = newHttpCaller(platform.url, AMPLE_TIMEOUT_MS);
  let checks = 0;
  const answer = await caller.order('/orders', z.unknown(), { wanted: 6 }, () => {
    checks += 1;
    return false;
  });
  t.is(checks, 1);
  t.deepEqual(answer.ok ? null : answer.val, 'not-sent');
  t.deepEqual(platform.bodies, []);
  const held = await caller.order('/orders', z.unknown(), { wanted: 6 }, () => true);
  t.true(held.ok);
  t.deepEqual(platform.bodies, ['{"wanted":6}']);
  await caller.close();
});

/**
 * Tells how the other side closes a connection. A reset that arrives together with the last bytes is
 * reported as a regular end; only a connection that was not reset still takes bytes then.
 */
const observeClosing = (socket: Socket): Promise<'reset' | 'closed normally'> =>
  new Promise((resolve) => {
    socket.on('error', () => resolve('reset'));
    socket.on('end', () => {
      socket.write('.', (error) => resolve(error ? 'reset' : 'closed normally'));
    });
  });

/** A platform that accepts connections and never answers. */
const startSilentPlatform = async (onConnection: (socket: Socket) => void) => {
  const closings: ReturnType<typeof observeClosing>[] = [];
  const server = createTcpServer({ allowHalfOpen: true, pauseOnConnect: true }, (socket) => {
    closings.push(observeClosing(socket));
    onConnection(socket);
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const { port } = server.address() as AddressInfo;
  return { closings, port, close: () => server.close() };
};

// The platform accepts the connection but never answers. If the connection were closed normally,
// the bytes in the send buffer could arrive after the successor's order.
test('an order that runs into its timeout resets its connection', async (t) => {
  const platform = await startSilentPlatform((socket) => socket.resume());
  t.teardown(platform.close);
  const caller = newHttpCaller(`http://127.0.0.1:${platform.port}`, TIMEOUT_MS);
  const answer = await caller.order('/orders', z.unknown(), { wanted: 6 }, () => true);
  t.is(answer.ok ? '' : answer.val, 'unknown');
  t.is(await platform.closings[0], 'reset');
  await caller.close();
});

// A platform that is short of processor time reads the order and the reset at once.
test('an order that runs into its timeout before it is read resets its connection', async (t) => {
  const sockets: Socket[] = [];
  const platform = await startSilentPlatform((socket) => sockets.push(socket));
  t.teardown(platform.close);
  const caller = newHttpCaller(`http://127.0.0.1:${platform.port}`, TIMEOUT_MS);
  const answer = await caller.order('/orders', z.unknown(), { wanted: 6 }, () => true);
  t.is(answer.ok ? '' : answer.val, 'unknown');
  sockets.forEach((socket) => socket.resume());
  t.is(await platform.closings[0], 'reset');
  await caller.close();
});

// Guards the two tests above: they would pass whatever is done if a regular end looked like a reset.
test('a connection that is closed normally is told from one that is reset', async (t) => {
  const platform = await startSilentPlatform((socket) => socket.resume());
  t.teardown(platform.close);
  const client = connect(platform.port, '127.0.0.1');
  client.end('bytes');
  client.resume();
  await new Promise((resolve) => {
    client.on('close', resolve);
    setTimeout(() => client.destroySoon(), 50);
  });
  t.is(await platform.closings[0], 'closed normally');
});

test('a refused connection is reported as not-sent, not as a call of unknown effect', async (t) => {
  const platform = await startPlatform();
  platform.close();
  const caller = newHttpCaller(platform.url, TIMEOUT_MS);
  const answer = await caller.call('GET', '/orders', z.unknown());
  t.is(answer.ok ? '' : answer.val, 'not-sent');
});
