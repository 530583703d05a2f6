import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';

/** One stand-in's server. */
export interface LoopbackServer {
  server: Server;
  /** Host and port. */
  address: string;
  /** Closes it and resets what is open. */
  close: () => Promise<void>;
}

/** Starts a server on a free port of this machine's own address. */
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
