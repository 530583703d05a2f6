import { once } from 'node:events';
import { createServer } from 'node:http';
import { connect } from 'node:net';
import type { AddressInfo } from 'node:net';
import sendEarlyJson from '@cyclamengate/common/sendEarlyJson';
import { notRun } from '@cyclamengate/gateway/refusal';
import test from 'ava';
import type { ExecutionContext } from 'ava';
import sendRefusal from '../src/sendRefusal.js';

const BODY_BYTES = 4_000_000;
const CHUNK = Buffer.alloc(65_536);
const CALLS = 20;

type Answer = Parameters<typeof sendRefusal>[0];

const listen = async (t: ExecutionContext, answer: (response: Answer) => void): Promise<number> => {
  const server = createServer((_request, response) => answer(response));
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  t.teardown(() => server.close());
  return (server.address() as AddressInfo).port;
};

/** Sends a body whatever comes back meanwhile; @returns what came back, and how it ended. */
const sendWhole = (port: number, head: string): Promise<{ status: string; error: string | null }> =>
  new Promise((resolve) => {
    const socket = connect(port, '127.0.0.1');
    let received = '';
    let error: string | null = null;
    let sent = 0;
    const sendRest = (): void => {
      while (sent < BODY_BYTES && !socket.destroyed) {
        sent += CHUNK.length;
        if (!socket.write(CHUNK)) {
          socket.once('drain', () => setTimeout(sendRest, 1));
          return;
        }
      }
      socket.end();
    };
    socket.on('data', (chunk: Buffer) => {
      received += chunk.toString('latin1');
    });
    socket.once('error', (fault: NodeJS.ErrnoException) => {
      error = fault.code ?? fault.message;
    });
    socket.once('close', () => resolve({ status: received.slice(9, 12), error }));
    const bytes = Math.ceil(BODY_BYTES / CHUNK.length) * CHUNK.length;
    socket.write(`POST / HTTP/${head}\r\nhost: a\r\ncontent-length: ${bytes}\r\n\r\n`);
    sendRest();
  });

const HEADS = {
  'a connection that its caller closes': '1.1\r\nconnection: close',
  'HTTP/1.0': '1.0',
};
const ANSWERS: Record<string, [string, (response: Answer) => void]> = {
  refusal: ['503', (response) => sendRefusal(response, 'r1', notRun('no-memory', 500))],
  'answer to a batch that is known already': [
    '202',
    (response) => sendEarlyJson(response, 202, {}),
  ],
};

Object.entries(HEADS).forEach(([connection, head]) =>
  Object.entries(ANSWERS).forEach(([kind, [status, answer]]) => {
    test(`the ${kind} is read by a caller that still sends its body, on ${connection}`, async (t) => {
      // Guards against a close with unread bytes: the sender gets a reset, and sends all of it again.
      const port = await listen(t, answer);
      const outcomes: unknown[] = [];
      for (let count = 0; count < CALLS; count += 1) outcomes.push(await sendWhole(port, head));
      t.deepEqual(outcomes, Array(CALLS).fill({ status, error: null }));
    });
  }),
);
