import { once } from 'node:events';
import { connect } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';

const PART_BYTES = 200_000;
const BETWEEN_PARTS_MS = 10;

/** Sends bytes of its own, and writes on when the server has ended its side, as HTTP clients do. */
const newRawSender = async (host: string, port: number) => {
  const socket = connect({ host, port, allowHalfOpen: true });
  const faults: string[] = [];
  let text = '';
  const closed = new Promise<void>((resolve) => {
    socket.once('close', () => resolve());
  });
  socket.on('data', (chunk: Buffer) => {
    text += chunk.toString();
  });
  socket.on('error', ({ message }) => faults.push(message));
  await once(socket, 'connect');
  return {
    socket,
    faults,
    closed,
    /** What has come since it was asked last. */
    takeText: (): string => {
      const taken = text;
      text = '';
      return taken;
    },
    /** Writes a body in parts and ends, whatever comes back meanwhile. */
    writeBody: async (bytes: number): Promise<void> => {
      for (let sent = 0; sent < bytes; sent += PART_BYTES) {
        socket.write(Buffer.alloc(Math.min(PART_BYTES, bytes - sent)));
        await sleep(BETWEEN_PARTS_MS);
      }
      socket.end();
    },
  };
};

export default newRawSender;
