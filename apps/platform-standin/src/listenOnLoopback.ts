import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';

/** The HTTP server of a stand-in. */
export interface LoopbackServer {
  server: Server;
  /** Host and port, separated by a colon. */
  address: string;
  /** Closes the server and its open connections. */
  close: () => Promise<void>;
}

/** Starts an HTTP server on a free loopback port. */
const listenOnLoopback = async (
  handle: (request: IncomingMessage, response: ServerResponse) => void,
): Promise<LoopbackServer> => {
  const server = createServer(handle);
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const { port } = server.address() as AddressInfo;
  const close = (): Promise<void> =>
    new Promise((resolve) => {
      server.close(() => resolve());
      server.closeAllConnections();
    });
  return { server, address: `127.0.0.1:${port}`, close };
};

export default listenOnLoopback;
