import type { Socket } from 'node:net';

/**
 * Stops and continues the reading of a socket; its sender waits meanwhile, once the buffers between
 * the two are full.
 *
 * The client library's own way to wait stops its parser, which fails by an assertion if the sender
 * closes meanwhile, and with it the process. Here the parser never waits: it finds nothing to read,
 * and learns of the close only after it has read everything before it.
 */
const newSocketGate = (socket: Socket) => {
  const read = socket.read.bind(socket);
  let isClosed = false;
  Object.assign(socket, { read: (size?: number) => (isClosed ? null : read(size)) });

  return {
    close: (): void => {
      isClosed = true;
    },
    open: (): void => {
      if (!isClosed) return;
      isClosed = false;
      socket.emit('readable');
    },
  };
};

export type SocketGate = ReturnType<typeof newSocketGate>;

export default newSocketGate;
