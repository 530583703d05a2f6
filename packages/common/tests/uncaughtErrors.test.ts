import { once } from 'node:events';
import { connect, createServer } from 'node:net';
import type { AddressInfo } from 'node:net';
import test from 'ava';
import describeError from '../src/describeError.js';
import isConnectionError from '../src/isConnectionError.js';

test('an error thrown in an event of a socket is told from others by its stack', async (t) => {
  const server = createServer((socket) => socket.end('x'));
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const socket = connect((server.address() as AddressInfo).port, '127.0.0.1');
  const [error] = await new Promise<Error[]>((resolve) => {
    socket.on('data', () => resolve([new Error('in an event')]));
  });
  server.close();
  t.true(isConnectionError(error));
  t.false(isConnectionError(new Error('elsewhere')));
  t.false(isConnectionError('node:net:1'));
});

test('whatever is thrown is described in bounded length', (t) => {
  // Guards against an error whose report fails, or fills the log.
  const long = new Error('x'.repeat(100_000));
  t.true(describeError(long).error.length <= 300);
  t.true((describeError(long).stack ?? '').length <= 4_000);
  t.is(describeError(Object.create(null)).stack, null);
  t.is(describeError(undefined).error, 'undefined');
  const odd = new Error('odd');
  Object.defineProperty(odd, 'stack', { value: 7 });
  t.is(describeError(odd).stack, null);
});
