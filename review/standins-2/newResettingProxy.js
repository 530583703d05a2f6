/** A proxy before a host that can reset a part of its channels. */
import { once } from 'node:events';
import { connect, createServer } from 'node:net';

const newResettingProxy = async (host) => {
  const channels = new Set();
  const server = createServer((near) => {
    const far = connect(host.port, host.address);
    const channel = { near, far };
    channels.add(channel);
    near.pipe(far);
    far.pipe(near);
    [near, far].forEach((socket) => {
      socket.on('error', () => {});
      socket.on('close', () => {
        channels.delete(channel);
        near.destroy();
        far.destroy();
      });
    });
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  return {
    address: '127.0.0.1',
    port: server.address().port,
    /** Resets every second channel; @returns how many. */
    resetHalf: () => {
      const chosen = [...channels].filter((_, index) => index % 2 === 0);
      chosen.forEach(({ near, far }) => {
        near.resetAndDestroy();
        far.resetAndDestroy();
      });
      return chosen.length;
    },
    close: () => {
      server.close();
      channels.forEach(({ near, far }) => {
        near.destroy();
        far.destroy();
      });
    },
  };
};

export default newResettingProxy;
