/**
 * Loaded into a host by `--import` before its program: brings an error into it at a signal, as faults of
 * its code would. Errors of connections and calls come as they do from Node.js.
 */
import { connect, createServer } from 'node:net';
import type { AddressInfo } from 'node:net';

const fail = (): never => {
  throw new Error('brought from outside');
};

const rejectPromise = (): void => {
  Promise.resolve().then(fail);
};

const failInConnection = (): void => {
  const server = createServer((socket) => {
    socket.end('x');
    server.close();
  });
  server.listen(0, '127.0.0.1', () => {
    const { port } = server.address() as AddressInfo;
    connect(port, '127.0.0.1').on('data', fail);
  });
};

const failInTimer = (): void => {
  setTimeout(fail, 0);
};

/** The function in the task of the items' runner that reads the clock next throws. */
const failInTask = (): void => {
  const { now } = performance;
  performance.now = (): number => {
    if (new Error().stack?.includes('saveParts')) {
      performance.now = now;
      fail();
    }
    return now.call(performance);
  };
};

const ERRORS = [
  ['SIGUSR2', rejectPromise],
  ['SIGWINCH', failInConnection],
  ['SIGIO', failInTimer],
  ['SIGPROF', failInTask],
] as const;

ERRORS.forEach(([signal, bring]) => process.on(signal, bring));
