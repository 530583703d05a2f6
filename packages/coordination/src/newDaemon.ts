import { createServer } from 'node:http';
import type Clock from '@cyclamengate/common/Clock';
import { handler, sendJson } from '@cyclamengate/common/handler';
import { MAX_HEADERS_BYTES } from '@cyclamengate/common/limits';
import newLogger from '@cyclamengate/common/newLogger';
import type { Log } from '@cyclamengate/common/newLogger';
import newMetrics from '@cyclamengate/common/newMetrics';
import type { Metrics } from '@cyclamengate/common/newMetrics';
import newSystemClock from '@cyclamengate/common/newSystemClock';
import newTaskGroup from '@cyclamengate/common/newTaskGroup';
import type { TaskGroup } from '@cyclamengate/common/newTaskGroup';
import newHttpPlatformLog from '@cyclamengate/platform/newHttpPlatformLog';
import type { HostSettings } from '@cyclamengate/settings/hostSettings';
import polka from 'polka';
import type { Polka } from 'polka';
import type { MemberRole } from './member.js';
import newRuntime from './newRuntime.js';
import type { Runtime, RuntimeOptions } from './newRuntime.js';

const LOG_LEVELS = { debug: 2, info: 3, warn: 4, error: 5 };
const HEADERS_TIMEOUT_MS = 10_000;
/** The balancer polls readiness about every second; work is accepted until it must have noticed. */
export const BALANCER_DETECTION_MS = 1_500;

/** The common parts of every daemon. */
export interface Daemon {
  clock: Clock;
  log: Log;
  metrics: Metrics;
  tasks: TaskGroup;
  runtime: Runtime;
  settings: HostSettings;
  app: Polka;
  start: () => Promise<void>;
  /** Makes the readiness probe fail; resolves when the balancer must have noticed. */
  announceLeaving: () => Promise<void>;
  /** Stops all tasks and closes the servers and their connections. */
  stop: () => Promise<void>;
}

type PeerHandlers = Pick<RuntimeOptions, 'keepUsage' | 'keepPayload' | 'readPayload'>;

/** Creates a daemon's logger, metrics, tasks, shared state and HTTP server. */
const newDaemon = (
  program: string,
  role: MemberRole,
  settings: HostSettings,
  peerHandlers: PeerHandlers = {},
): Daemon => {
  const clock = newSystemClock();
  const log = newLogger(program, LOG_LEVELS[settings.logLevel]);
  const metrics = newMetrics();
  const tasks = newTaskGroup((name, error) => {
    log.fatal({ event: 'invariant-broken', task: name, error: String((error as Error).stack) });
    process.exit(1);
  });
  const platformLog = newHttpPlatformLog(settings.platform.log);
  const runtime = newRuntime({
    clock,
    log,
    metrics,
    tasks,
    settings,
    role,
    platformLog,
    ...peerHandlers,
  });
  const onFault = (error: unknown): void => {
    log.error({ event: 'handler-failed', error: String((error as Error).stack ?? error) });
  };

  const isReady = (): boolean =>
    !runtime.self.isLeaving &&
    !runtime.follower.isWaitingForCheckpoint() &&
    runtime.follower.state().offset >= 0;

  metrics.gauge('settings_offset', () => runtime.follower.state().offset);
  metrics.gauge('members_live', () => runtime.membership.live().length);
  metrics.gauge('resident_bytes', () => process.memoryUsage.rss());
  metrics.gauge('cpu_microseconds', () => process.cpuUsage().user + process.cpuUsage().system);
  metrics.gauge('records_skipped', runtime.follower.skipped);
  metrics.gauge('state_age_milliseconds', () =>
    Math.round(Math.min(Number.MAX_SAFE_INTEGER, clock.now() - runtime.follower.currentAt())),
  );

  const app = polka();
  app.get(
    '/live',
    handler(onFault, async (_, response) => sendJson(response, 200, { isLive: true })),
  );
  app.get(
    '/ready',
    handler(onFault, async (_, response) =>
      sendJson(response, isReady() ? 200 : 503, { isReady: isReady() }),
    ),
  );
  app.get(
    '/metrics',
    handler(onFault, async (_, response) => {
      response.writeHead(200, { 'content-type': 'text/plain; version=0.0.4' });
      response.end(metrics.text());
    }),
  );
  const server = createServer(
    { maxHeaderSize: MAX_HEADERS_BYTES, headersTimeout: HEADERS_TIMEOUT_MS },
    (request, response) => {
      app.handler(request as never, response);
    },
  );

  const start = async (): Promise<void> => {
    await runtime.start();
    await new Promise<void>((resolve, reject) => {
      server.once('error', reject);
      server.listen(settings.listen.port, settings.listen.host, resolve);
    });
    log.info({ event: 'started', role, id: settings.id, failureDomain: settings.failureDomain });
  };

  const announceLeaving = async (): Promise<void> => {
    log.info({ event: 'draining' });
    runtime.self.isLeaving = true;
    await clock.sleepUntil(clock.now() + BALANCER_DETECTION_MS);
  };

  const stop = async (): Promise<void> => {
    await tasks.stop();
    runtime.close();
    server.close();
    server.closeAllConnections();
    log.info({ event: 'stopped' });
  };

  return { clock, log, metrics, tasks, runtime, settings, app, start, announceLeaving, stop };
};

export default newDaemon;
