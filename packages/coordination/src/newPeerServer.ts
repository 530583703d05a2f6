import { createServer } from 'node:http';
import type { Socket } from 'node:net';
import { createHTTPHandler } from '@trpc/server/adapters/standalone';
import { newPeerRouter } from './peerRouter.js';
import type { PeerService } from './peerRouter.js';

/** The HTTP server for calls from peers. */
const newPeerServer = (service: PeerService) => {
  const sockets = new Set<Socket>();
  let closedBytes = 0;
  const server = createServer(
    createHTTPHandler({ router: newPeerRouter(service), basePath: '/trpc/' }),
  );
  server.on('connection', (socket) => {
    sockets.add(socket);
    socket.once('close', () => {
      sockets.delete(socket);
      closedBytes += socket.bytesRead + socket.bytesWritten;
    });
  });

  return {
    listen: (host: string, port: number): Promise<void> =>
      new Promise((resolve, reject) => {
        server.once('error', reject);
        server.listen(port, host, resolve);
      }),
    /** Bytes received and sent since the server was created. */
    bytes: (): number =>
      [...sockets].reduce(
        (sum, { bytesRead, bytesWritten }) => sum + bytesRead + bytesWritten,
        closedBytes,
      ),
    close: (): void => {
      server.close();
      server.closeAllConnections();
    },
  };
};

export default newPeerServer;
