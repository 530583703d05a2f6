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
  /** Breaks all connections off and refuses new ones until the server starts again. */
  crash: () => void;
  /** Number of crashes so far. */
  crashCount: () => number;
}

/** Time for which a crashed server is down. */
const RESTART_DELAY_MS = 250;

type Handler = (
  request: IncomingMessage,
  response: ServerResponse,
  crash: () => void,
) => Promise<void> | void;

/**
 * Starts an HTTP server on a free loopback port. A request that its sender breaks off is dropped; any
 * other error of the handler is thrown.
 */
const listenOnLoopback = async (handle: Handler): Promise<LoopbackServer> => {
  const server = createServer();
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const { port } = server.address() as AddressInfo;
  let crashes = 0;
  let restartTimer: NodeJS.Timeout | undefined;
  const close = (): Promise<void> =>
    new Promise((resolve) => {
      clearTimeout(restartTimer);
      server.close(() => resolve());
      server.closeAllConnections();
    });
  const restart = (): void => {
    restartTimer = setTimeout(() => server.listen(port, '127.0.0.1'), RESTART_DELAY_MS);
  };
  const crash = (): void => {
    // Another request of the same moment may have crashed it already.
    if (!server.listening) return;
    crashes += 1;
    server.close();
    server.closeAllConnections();
    restart();
  };
  // Another process of the machine may have got the port as the local one of a connection.
  server.on('error', (error: NodeJS.ErrnoException) => {
    if (error.code !== 'EADDRINUSE') throw error;
    restart();
  });
  const serve = async (request: IncomingMessage, response: ServerResponse): Promise<void> => {
    try {
      await handle(request, response, crash);
    } catch (error) {
      if (request.complete) throw error;
      response.destroy();
    }
  };
  server.on('request', serve);
  return { server, address: `127.0.0.1:${port}`, close, crash, crashCount: () => crashes };
};

export default listenOnLoopback;
