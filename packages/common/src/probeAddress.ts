import { connect } from 'node:net';
import { isAddress, parseAddress } from './address.js';

/**
 * A reachable machine accepts within this time, also across failure domains and over a busy link.
 */
const CONNECT_TIMEOUT_MS = 300;

/**
 * Whether connections are accepted at an address. A machine that is up refuses them if no process
 * listens; one that is down or behind a network partition does not respond.
 */
export type AddressState = 'listening' | 'refusing' | 'unreachable';

/**
 * Probes whether connections are accepted at an address. The operating system also accepts them for
 * a process that is busy or suspended, so this distinguishes a late process from one that is gone.
 * @param address IP address and port; what no connection can be made to is unreachable
 * @param timeoutMs after which the address counts as unreachable
 */
const probeAddress = (address: string, timeoutMs = CONNECT_TIMEOUT_MS): Promise<AddressState> =>
  new Promise((resolve) => {
    if (!isAddress(address)) {
      resolve('unreachable');
      return;
    }
    const socket = connect(parseAddress(address));
    let timer: NodeJS.Timeout | null = null;
    const settle = (state: AddressState): void => {
      if (timer) clearTimeout(timer);
      socket.destroy();
      resolve(state);
    };
    socket.once('connect', () => settle('listening'));
    socket.once('error', ({ code }: NodeJS.ErrnoException) =>
      settle(code === 'ECONNREFUSED' ? 'refusing' : 'unreachable'),
    );
    // After a stall of this process the timer fires before the event of a connection that was
    // accepted in time; that event is handled before the immediate callback.
    timer = setTimeout(() => setImmediate(() => settle('unreachable')), timeoutMs);
  });

export default probeAddress;
