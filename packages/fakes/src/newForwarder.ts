import { connect, createServer } from 'node:net';
import type { AddressInfo, Socket } from 'node:net';

/** What a forwarder does with traffic. */
export type ForwarderMode = 'open' | 'cut' | 'silent';

/**
 * Stands between two processes and can part them: `cut` resets everything, `silent` keeps connections
 * open and lets no byte through, as a network that lost track of them does.
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

  const server = createServer((near) => {
    track(near);
    if (mode === 'cut') {
      near.resetAndDestroy();
      return;
    }
    const far = connect(Number(port), hostname);
    track(far);
    forward(near, far);
    forward(far, near);
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });

  return {
    url: `http://127.0.0.1:${(server.address() as AddressInfo).port}`,
    set: (wanted: ForwarderMode): void => {
      mode = wanted;
      if (wanted === 'cut') sockets.forEach((socket) => socket.resetAndDestroy());
    },
    /** New connections work again, those that are open stay silent for good. */
    healNewOnly: (): void => {
      const old = [...sockets];
      old.forEach((socket) => socket.removeAllListeners('data'));
      old.forEach((socket) => socket.pause());
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
