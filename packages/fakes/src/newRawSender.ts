import { once } from 'node:events';
import { connect } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';

const CHUNK_BYTES = 200_000;
const CHUNK_INTERVAL_MS = 10;

/** Sends raw bytes and keeps writing after the server has ended its side, as HTTP clients do. */
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
    /** Returns the text received since the last call. */
    takeText: (): string => {
      const taken = text;
      text = '';
      return taken;
    },
    /** Writes a body of zero bytes in chunks, then ends the socket, whatever the server sends meanwhile. */
    writeBody: async (bytes: number): Promise<void> => {
      for (let sent = 0; sent < bytes; sent += CHUNK_BYTES) {
        socket.write(Buffer.alloc(Math.min(CHUNK_BYTES, bytes - sent)));
        await sleep(CHUNK_INTERVAL_MS);
      }
      socket.end();
    },
  };
};

export default newRawSender;
