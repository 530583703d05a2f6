import { createServer } from 'node:net';
import type { Server } from 'node:net';

/** First of the ports to choose from, all below the range that systems use for outgoing connections. */
const FIRST_PORT = 12_000;
const PORT_PAIRS = 9_000;

const listenOn = (port: number): Promise<Server | null> =>
  new Promise((resolve) => {
    const server = createServer();
    server.once('error', () => resolve(null));
    server.listen(port, '127.0.0.1', () => resolve(server));
  });

const close = (server: Server): Promise<void> =>
  new Promise((resolve) => {
    server.close(() => resolve());
  });

/**
 * Finds a free loopback port for a program that the caller is about to start.
 *
 * Until the program listens, another test's connection or program could take the port; the program
 * would then fail to start and its test would time out. Ports are therefore outside the range for
 * outgoing connections, and this process listens on the next higher port until it exits, which keeps
 * other processes and threads from choosing the same pair.
 */
const findPort = async (): Promise<number> => {
  const port = FIRST_PORT + 2 * Math.floor(Math.random() * PORT_PAIRS);
  const neighbour = await listenOn(port + 1);
  if (!neighbour) return findPort();
  neighbour.unref();
  const probe = await listenOn(port);
  if (!probe) {
    await close(neighbour);
    return findPort();
  }
  await close(probe);
  return port;
};

export default findPort;
