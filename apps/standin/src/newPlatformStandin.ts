import { createServer } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';
import polka from 'polka';
import { readJson, withFaults } from './withFaults.js';
import { faultSwitchSchema, newFaultSwitches } from './faultSwitches.js';
import newFleetStandin from './newFleetStandin.js';
import newLogStandin from './newLogStandin.js';
import newReportsStandin from './newReportsStandin.js';

export interface PlatformStandinOptions {
  port: number;
  slots?: number;
  tokenDelayMs?: number;
  prefillMs?: number;
  prefixesCached?: number;
  loadMs?: number;
  startMs?: number;
  listLagMs?: number;
  recordsKept?: number;
}

/** Runs all services of the platform and their upstreams in one process. */
const newPlatformStandin = async (options: PlatformStandinOptions) => {
  const faults = newFaultSwitches();
  const log = newLogStandin(faults, options.recordsKept ?? 100_000);
  const reports = newReportsStandin(faults);
  const fleet = newFleetStandin({
    faults,
    engine: {
      slots: options.slots ?? 8,
      tokenDelayMs: options.tokenDelayMs ?? 2,
      prefillMs: options.prefillMs ?? 20,
      prefixesCached: options.prefixesCached ?? 64,
      loadMs: options.loadMs ?? 200,
    },
    startMs: options.startMs ?? 200,
    listLagMs: options.listLagMs ?? 200,
  });

  const app = polka();
  [log, reports, fleet].forEach((part) => part.mount(app));
  app.post(
    '/faults',
    withFaults(faults, 'switches', async (request, response) => {
      const wanted = await readJson(request, response, faultSwitchSchema);
      if (wanted) faults.set(wanted);
      return wanted && { status: 200, body: wanted };
    }),
  );
  let closedBytes = 0;
  const sockets = new Set<Socket>();
  const countBytes = (): number =>
    [...sockets].reduce(
      (sum, { bytesRead, bytesWritten }) => sum + bytesRead + bytesWritten,
      closedBytes,
    );
  app.get(
    '/counts',
    withFaults(faults, 'switches', async () => ({
      status: 200,
      body: { ...log.counts(), bytes: countBytes() },
    })),
  );

  const server = createServer((request, response) => app.handler(request as never, response));
  server.on('connection', (socket) => {
    sockets.add(socket);
    socket.once('close', () => {
      sockets.delete(socket);
      closedBytes += socket.bytesRead + socket.bytesWritten;
    });
  });
  await new Promise<void>((resolve) => {
    server.listen(options.port, '127.0.0.1', resolve);
  });
  const { port } = server.address() as AddressInfo;

  return {
    url: `http://127.0.0.1:${port}`,
    faults,
    log,
    reports,
    fleet,
    close: (): void => {
      fleet.running.forEach(({ engine }) => engine.close());
      server.close();
      server.closeAllConnections();
    },
  };
};

export type PlatformStandin = Awaited<ReturnType<typeof newPlatformStandin>>;

export default newPlatformStandin;
