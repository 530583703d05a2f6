import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { ITEM_PATH, RESULTS_PATH } from '@cyclamengate/adapter/batchCalls';
import { parseCallerRequest } from '@cyclamengate/adapter/callerRequest';
import { parseAddress } from '@cyclamengate/common/address';
import type { Address } from '@cyclamengate/common/address';
import { handler, sendJson } from '@cyclamengate/common/handler';
import type { AsyncHandler, HandlerRequest } from '@cyclamengate/common/handler';
import type { EventLog } from '@cyclamengate/common/newEventLog';
import type { Metrics } from '@cyclamengate/common/newMetrics';
import type { EffectiveSettings } from '@cyclamengate/gateway/newSettingsView';
import type { ServiceReport } from '@cyclamengate/gateway/serviceReport';
import polka from 'polka';
import type { HostSettings } from './hostSettings.js';
import type { BatchHandlers } from './newBatchHandlers.js';
import type { CallerHandler } from './newCallerHandler.js';

/** Exceeds the operator's limit, which can change while the server is running. */
const MAX_HEADER_BYTES = 65_536;
const LISTEN_BACKLOG = 1_024;
/** On the metrics address. */
const SERVICES_PATH = '/services';

export interface ServersOptions {
  settings: HostSettings;
  log: EventLog;
  metrics: Metrics;
  callers: CallerHandler;
  batches: BatchHandlers;
  readSettings: () => EffectiveSettings | null;
  isReady: () => boolean;
  isLeaving: () => boolean;
  /** What this host knows of each service, for operators. */
  describeServices: () => ServiceReport[];
  /** Serves the peer procedures. */
  peerServer: Server;
}

const listenOn = (server: Server, { host, port }: Address): Promise<void> =>
  new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, LISTEN_BACKLOG, resolve);
  });

const parseQuery = ({ url }: IncomingMessage): URLSearchParams =>
  new URLSearchParams((url ?? '').split('?')[1] ?? '');

/** The HTTP servers of a host: callers, readiness probe, peers and metrics. */
const newServers = (options: ServersOptions) => {
  const { settings, log, metrics, callers, batches, readSettings, isReady, peerServer } = options;
  let openRequests = 0;

  const logError = (error: unknown): void =>
    log.error('request.broken', { error: (error as Error).stack });

  const toHandler = (handle: AsyncHandler) => handler(logError, handle);

  const readBatchId = (request: HandlerRequest): string => String(request.params.id ?? '');

  const app = polka({ onNoMatch: toHandler(callers.serve) })
    .get(
      RESULTS_PATH,
      toHandler((request, response) => {
        const from = Math.max(0, Math.floor(Number(parseQuery(request).get('after')) || 0));
        return batches.read(parseCallerRequest(request), response, readBatchId(request), from);
      }),
    )
    .delete(
      RESULTS_PATH,
      toHandler((request, response) =>
        batches.end(parseCallerRequest(request), response, readBatchId(request)),
      ),
    )
    .get(
      ITEM_PATH,
      toHandler((request, response) => {
        const item = parseQuery(request).get('id') ?? '';
        return batches.readItem(parseCallerRequest(request), response, readBatchId(request), item);
      }),
    );

  /** Changed timeouts take effect with the next connection or request. */
  const applyLimits = (server: Server): void => {
    const limits = readSettings()?.settings.limits;
    if (!limits) return;
    server.headersTimeout = limits.headerTimeoutMs;
    server.keepAliveTimeout = limits.idleTimeoutMs;
  };

  const callerServer = createServer({ maxHeaderSize: MAX_HEADER_BYTES, requestTimeout: 0 });
  callerServer.on('request', (request: IncomingMessage, response: ServerResponse) => {
    openRequests += 1;
    response.once('close', () => {
      openRequests -= 1;
    });
    applyLimits(callerServer);
    if (options.isLeaving()) response.setHeader('connection', 'close');
    app.handler(request as never, response);
  });

  const readinessServer = createServer((_request, response) => {
    response.writeHead(isReady() && callerServer.listening ? 200 : 503, { 'content-length': '0' });
    response.end();
  });

  const metricsServer = createServer((request, response) => {
    if (request.url === SERVICES_PATH) {
      sendJson(response, 200, options.describeServices());
      return;
    }
    response.writeHead(200, { 'content-type': 'text/plain; version=0.0.4' });
    response.end(metrics.text());
  });

  return {
    listen: async (): Promise<void> => {
      const metricsAddress = { host: settings.address, port: settings.listen.metricsPort };
      await listenOn(metricsServer, metricsAddress);
      await listenOn(peerServer, parseAddress(settings.listen.peers));
      await listenOn(readinessServer, parseAddress(settings.listen.readiness));
      // Last: until the start is complete, a stop signal ends the process with the requests that it took.
      await listenOn(callerServer, parseAddress(settings.listen.callers));
    },
    openRequestCount: (): number => openRequests,
    closeIdle: (): void => callerServer.closeIdleConnections(),
    close: (): void => {
      [callerServer, readinessServer, peerServer, metricsServer].forEach((server) => {
        server.close();
        server.closeIdleConnections();
      });
    },
  };
};

export type Servers = ReturnType<typeof newServers>;

export default newServers;
