import type { Socket } from 'node:net';
import { buildConnector, Client } from 'undici';
import newSocketGate from './newSocketGate.js';
import type { SocketGate } from './newSocketGate.js';
import sendOn from './sendOn.js';
import type { ConnectionAnswer, ConnectionRequest } from './sendOn.js';

const CONNECT_TIMEOUT_MS = 800;
/** Idle connections are closed after this unless the upstream sets less; steps come every 4 s. */
const IDLE_TIMEOUT_MS = 12_000;
/**
 * An idle connection is closed this long before the upstream would close it, since a request sent while
 * the upstream closes is reset. Upstreams are a few milliseconds away and set 10 s.
 */
const IDLE_TIMEOUT_MARGIN_MS = 500;
/** A host that runs a step has up to one request per slot at an engine. */
const MAX_IDLE_PER_UPSTREAM = 24;

/** A connection to an upstream; carries one request at a time. */
export interface Connection {
  client: Client;
  /** Rejects if no head of an answer comes, also when the connection is discarded meanwhile. */
  send: (request: ConnectionRequest) => Promise<ConnectionAnswer>;
  isOpen: () => boolean;
  /** Whether the upstream closed it without a reset, which completes a response without a length. */
  isClosedByUpstream: () => boolean;
  /**
   * Closes it with a reset, so that unsent data is dropped. During a network partition, requests wait
   * in the kernel's send buffer, and an ordinary close would still deliver them: seconds after the
   * partition heals, the upstream would run a request whose caller has disconnected, or an item of a
   * batch that has ended.
   */
  discard: () => void;
}

const connect = buildConnector({ timeout: CONNECT_TIMEOUT_MS });

const newConnection = (host: string, port: number): Connection => {
  let isClosedByUpstream = false;
  let isOpen = false;
  let openSocket: Socket | null = null;
  let gate: SocketGate = { close: () => {}, open: () => {} };
  const client = new Client(`http://${host}:${port}`, {
    pipelining: 1,
    keepAliveTimeout: IDLE_TIMEOUT_MS,
    keepAliveTimeoutThreshold: IDLE_TIMEOUT_MARGIN_MS,
    headersTimeout: 0,
    bodyTimeout: 0,
    connect: (options, callback) => {
      isClosedByUpstream = false;
      connect(options, (...result) => {
        const [, socket] = result as [unknown, Socket | null];
        // Registered before the client's own listener. Node.js also reports a reset as an end if it
        // arrives together with data; the socket then has no peer any more.
        socket?.once('end', () => {
          isClosedByUpstream = socket.remoteAddress !== undefined;
        });
        isOpen = socket !== null;
        openSocket = socket;
        if (socket) gate = newSocketGate(socket);
        callback(...result);
      });
    },
  });
  client.on('disconnect', () => {
    isOpen = false;
  });
  const discard = (): void => {
    if (openSocket && !openSocket.destroyed) openSocket.resetAndDestroy();
    void client.destroy();
  };
  return {
    client,
    send: (request) => sendOn(client, request, () => gate, discard),
    isOpen: () => isOpen,
    isClosedByUpstream: () => isClosedByUpstream,
    discard,
  };
};

/**
 * A pool of connections by upstream. Idle connections to an upstream that was removed or restarted must
 * be discarded with `discardIdle`, so that they are not reused for another incarnation.
 */
const newConnections = () => {
  const idle = new Map<string, Connection[]>();

  const findIdle = (upstream: string): Connection[] => {
    const open = (idle.get(upstream) ?? []).filter(({ isOpen }) => isOpen());
    if (open.length > 0) idle.set(upstream, open);
    else idle.delete(upstream);
    return open;
  };

  return {
    /**
     * Throws for an address that no connection can be made to.
     * @param mustBeNew for a request that must not be sent twice, as an idle connection may be dead
     */
    acquire: (upstream: string, host: string, port: number, mustBeNew: boolean): Connection => {
      const pooled = mustBeNew ? undefined : findIdle(upstream).pop();
      return pooled ?? newConnection(host, port);
    },
    release: (upstream: string, connection: Connection): void => {
      const pooled = findIdle(upstream);
      if (!connection.isOpen() || pooled.length >= MAX_IDLE_PER_UPSTREAM) {
        connection.discard();
        return;
      }
      idle.set(upstream, [...pooled, connection]);
    },
    /** Whether a request can be sent without a new connection. */
    hasIdle: (upstream: string): boolean => findIdle(upstream).length > 0,
    discardIdle: (upstream: string): void => {
      const pooled = idle.get(upstream) ?? [];
      idle.delete(upstream);
      pooled.forEach(({ discard }) => discard());
    },
  };
};

export type Connections = ReturnType<typeof newConnections>;

export default newConnections;
