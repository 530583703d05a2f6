import { once } from 'node:events';
import { connect } from 'node:net';
import test from 'ava';
import newPlatform from '../src/newPlatform.js';

const HEAD = 'POST /lookup/1 HTTP/1.1\r\nhost: parts.example\r\ncontent-length: 100\r\n\r\n';

/** Sends the head of a request and half of its body, and closes the connection. */
const sendHalf = async (address: string): Promise<void> => {
  const [host, port] = address.split(':');
  const socket = connect(Number(port), host);
  await once(socket, 'connect');
  socket.end(HEAD + 'x'.repeat(50));
  socket.resume();
  await once(socket, 'close');
};

test('a request that a host breaks off ends no stand-in', async (t) => {
  // Guards against runs that fail with 'aborted' when a host ends in the middle of a body.
  const platform = await newPlatform({ domains: ['detroit'], enginesPerDomain: 1 });
  const servers = [platform.store, platform.duties, ...platform.engines, ...platform.plain];
  for (const { address } of servers) await sendHalf(address);
  servers.forEach(({ server }) => t.true(server.listening));
  await platform.close();
});
