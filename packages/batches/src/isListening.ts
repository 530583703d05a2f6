import { connect } from 'node:net';

/** A machine that is there accepts at once; across failure domains and a busy link within this. */
const CONNECT_MS = 300;

/**
 * Whether something accepts connections at an address. The operating system accepts them also for a
 * process that is busy or suspended, so this tells a host that is late from one that is gone.
 * @param address IP address and port
 */
const isListening = (address: string): Promise<boolean> =>
  new Promise((resolve) => {
    const [host, port] = address.split(':');
    const socket = connect({ host, port: Number(port) });
    let timer: NodeJS.Timeout | null = null;
    const settle = (isThere: boolean): void => {
      if (timer) clearTimeout(timer);
      socket.destroy();
      resolve(isThere);
    };
    socket.once('connect', () => settle(true));
    socket.once('error', () => settle(false));
    // A process that was held up itself meets its timer before the connection that stood in time.
    timer = setTimeout(() => setImmediate(() => settle(false)), CONNECT_MS);
  });

export default isListening;
