import { connect } from 'node:net';

/**
 * A reachable machine accepts within this time, also across failure domains and over a busy link.
 */
const CONNECT_TIMEOUT_MS = 300;

/**
 * Checks whether connections are accepted at an address. The operating system also accepts them for
 * a process that is busy or suspended, so this distinguishes a late host from an unreachable one.
 * @param address IP address and port
 */
const isListening = (address: string): Promise<boolean> =>
  new Promise((resolve) => {
    const [host, port] = address.split(':');
    const socket = connect({ host, port: Number(port) });
    let timer: NodeJS.Timeout | null = null;
    const settle = (isReachable: boolean): void => {
      if (timer) clearTimeout(timer);
      socket.destroy();
      resolve(isReachable);
    };
    socket.once('connect', () => settle(true));
    socket.once('error', () => settle(false));
    // After a stall of this process the timer fires before the event of a connection that was
    // accepted in time; that event is handled before the immediate callback.
    timer = setTimeout(() => setImmediate(() => settle(false)), CONNECT_TIMEOUT_MS);
  });

export default isListening;
