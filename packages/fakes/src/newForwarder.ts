import { connect, createServer } from 'node:net';
import type { AddressInfo, Socket } from 'node:net';

/** How a forwarder treats traffic. */
export type ForwarderMode = 'open' | 'cut' | 'silent';

/**
 * Forwards TCP connections to a target and can simulate a network partition: `cut` resets all
 * connections; `silent` keeps them open but drops all data, as a network that lost its connection
 * state does.
 */
const newForwarder = async (targetUrl: string) => {
  const { hostname, port } = new URL(targetUrl);
  const sockets = new Set<Socket>();
  let mode: ForwarderMode = 'open';

  const track = (socket: Socket): void => {
    sockets.add(socket);
    socket.on('error', () => socket.destroy());
    socket.on('close', () => sockets.delete(socket));
  };

  const forward = (from: Socket, to: Socket): void => {
    from.on('data', (chunk) => {
      if (mode === 'open') to.write(chunk);
    });
    from.on('close', () => to.destroy());
  };

  const server = createServer((client) => {
    track(client);
    if (mode === 'cut') {
      client.resetAndDestroy();
      return;
    }
    const target = connect(Number(port), hostname);
    track(target);
    forward(client, target);
    forward(target, client);
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });

  return {
    url: `http://127.0.0.1:${(server.address() as AddressInfo).port}`,
    setMode: (nextMode: ForwarderMode): void => {
      mode = nextMode;
      if (nextMode === 'cut') sockets.forEach((socket) => socket.resetAndDestroy());
    },
    /** Forwards new connections again; connections that are already open never carry data again. */
    restoreNewConnections: (): void => {
      const existing = [...sockets];
      existing.forEach((socket) => socket.removeAllListeners('data'));
      existing.forEach((socket) => socket.pause());
      mode = 'open';
    },
    close: (): void => {
      server.close();
      sockets.forEach((socket) => socket.destroy());
    },
  };
};

export type Forwarder = Awaited<ReturnType<typeof newForwarder>>;

export default newForwarder;
