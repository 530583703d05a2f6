import { spawn } from 'node:child_process';
import { once } from 'node:events';
import { connect } from 'node:net';
import type { Socket } from 'node:net';

/**
 * Accepts no connections: its backlog of two connections is full, and the system drops further
 * attempts.
 */
const PROGRAM = `
const server = require('node:net').createServer();
server.listen({ port: 0, host: '127.0.0.1', backlog: 1 }, () => {
  process.stdout.write(String(server.address().port), () => {
    Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0);
  });
});`;
const BACKLOG_CONNECTIONS = 2;

const open = async (port: number): Promise<Socket> => {
  const socket = connect(port, '127.0.0.1');
  socket.on('error', () => {});
  await once(socket, 'connect');
  return socket;
};

/**
 * Creates an address that drops all connection attempts, like a host behind a network partition.
 */
const newUnreachableAddress = async () => {
  const child = spawn(process.execPath, ['-e', PROGRAM], { stdio: ['ignore', 'pipe', 'inherit'] });
  const [port] = (await once(child.stdout, 'data')) as [Buffer];
  const sockets = await Promise.all(
    Array.from({ length: BACKLOG_CONNECTIONS }, () => open(Number(port.toString()))),
  );
  const close = (): void => {
    sockets.forEach((socket) => socket.destroy());
    child.kill('SIGKILL');
  };
  return { address: `127.0.0.1:${port.toString()}`, close };
};

export default newUnreachableAddress;
