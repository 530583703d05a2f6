/**
 * Starts a small deployment on loopback addresses: the project's stand-in of the platform, and hosts
 * with the command of the deploy file. A case adds its own upstreams and clients.
 */
import { spawn } from 'node:child_process';
import { once } from 'node:events';
import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { request as httpRequest } from 'node:http';
import { createServer } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import newPlatform from '@cyclamengate/app-platform-standin/newPlatform';
import { encodeKeyedBody } from '@cyclamengate/store/newMemoryStore';
import { endWithCase } from './runCase.js';

const ROOT = fileURLToPath(new URL('../..', import.meta.url));
/** As the deploy file runs it, without the settings. */
const COMMAND = ['--max-old-space-size=220', 'target/cyclamengate-host.cjs', '--settings'];
const DOMAINS = ['detroit', 'cleveland', 'milwaukee'];
const ENTRY_INTERVAL_MS = 300;
const READY_TIMEOUT_MS = 30_000;
const POLL_MS = 50;

export const HOST_NAME = 'parts.example';
export const KEY = 'key-of-the-museum';
/** Of the settings that a small deployment gets. */
export const GRACE_MS = 8_000;

export const sleep = (ms) =>
  new Promise((resolve) => {
    setTimeout(resolve, ms);
  });

/** Below the ports that systems give to outgoing channels, which may take a free one at any moment. */
const FIRST_PORT = 12_000;
const PORTS = 18_000;
const takenPorts = new Set();

const isFree = (port) =>
  new Promise((resolve) => {
    const server = createServer();
    server.once('error', () => resolve(false));
    server.listen(port, '127.0.0.1', () => server.close(() => resolve(true)));
  });

const findPort = async () => {
  for (;;) {
    const port = FIRST_PORT + Math.floor(Math.random() * PORTS);
    if (!takenPorts.has(port)) {
      takenPorts.add(port);
      if (await isFree(port)) return port;
    }
  }
};

/** The manifest of a small deployment: lookups, streams that may be resumed or not, and batches. */
export const newManifest = (version, changes = {}) => ({
  version,
  routes: [
    {
      name: 'lookups',
      host: HOST_NAME,
      'path-prefix': '/lookup/',
      kind: 'idempotent',
      'timeout-ms': 1_500,
      'target-latency-ms': 190,
      'max-attempts': 3,
      priority: 2,
      service: 'desk',
    },
    {
      name: 'advice',
      host: HOST_NAME,
      'path-prefix': '/advice/',
      kind: 'non_idempotent',
      streaming: true,
      resumable: true,
      'timeout-ms': 10_000,
      'target-latency-ms': 400,
      'max-attempts': 3,
      priority: 1,
      service: 'assist',
    },
    {
      name: 'letters',
      host: HOST_NAME,
      'path-prefix': '/letter/',
      kind: 'non_idempotent',
      streaming: true,
      'timeout-ms': 10_000,
      'target-latency-ms': 400,
      'max-attempts': 3,
      priority: 1,
      service: 'assist',
    },
    {
      name: 'rounds',
      host: HOST_NAME,
      'path-prefix': '/rounds/',
      kind: 'rollout',
      'timeout-ms': 10_000,
      'target-latency-ms': 400,
      'max-attempts': 3,
      'result-deadline-ms': 7_500,
      'retention-s': 40,
      priority: 1,
      service: 'assist',
    },
  ].map((route) => ({ ...route, ...changes[route.name] })),
  services: [
    {
      name: 'assist',
      'health-path': '/healthz',
      'max-connections': 140,
      engine: { models: [{ name: 'wear' }] },
    },
    { name: 'desk', 'health-path': '/healthz', 'max-connections': 100 },
  ],
  limits: {
    'max-header-bytes': 16_384,
    'max-body-bytes': 33_554_432,
    'header-timeout-ms': 3_000,
    'idle-timeout-ms': 15_000,
  },
  tenants: [{ name: 'museum', 'api-keys': [KEY] }],
});

const newSettings = async (name, failureDomain, platform) => ({
  host: name,
  failureDomain,
  regions: Object.fromEntries(DOMAINS.map((domain) => [domain, 'great-lakes'])),
  address: '127.0.0.1',
  processor: { cores: 2, share: 0.675 },
  listen: {
    callers: `127.0.0.1:${await findPort()}`,
    readiness: `127.0.0.1:${await findPort()}`,
    peers: `127.0.0.1:${await findPort()}`,
    metricsPort: await findPort(),
  },
  store: { address: platform.store.address },
  duties: { address: platform.duties.address },
  terms: {
    leaseMs: 3_000,
    shutdownSeconds: GRACE_MS / 1_000,
    usageWindowSeconds: 5,
    batchLifeSeconds: 120,
  },
  memory: { limitMb: 390 },
  shares: { reservedPart: 0.25, floorPart: 0.05 },
});

/** Sends one call on a channel of its own; @returns its status, 0 without an answer, and its text. */
export const call = ({ address, port }, method, path, headers = {}, body = '') =>
  new Promise((resolve) => {
    const fail = () => resolve({ status: 0, text: '' });
    const request = httpRequest(
      {
        host: address,
        port,
        agent: false,
        method,
        path,
        headers: {
          host: HOST_NAME,
          'x-api-key': KEY,
          'content-length': String(Buffer.byteLength(body)),
          ...headers,
        },
      },
      (response) => {
        let text = '';
        response.setEncoding('utf8');
        response.on('data', (part) => {
          text += part;
        });
        response.on('end', () => resolve({ status: response.statusCode, text }));
        response.on('error', fail);
      },
    );
    request.on('error', fail);
    request.end(body);
  });

const isReady = async (readiness) => {
  const [address, port] = readiness.split(':');
  return (await call({ address, port }, 'GET', '/v1/readyz')).status === 200;
};

/**
 * @param count number of hosts, in turn in each failure domain
 * @param manifest the operator's settings
 */
export const newSystem = async ({ count, manifest }) => {
  const platform = await newPlatform({ domains: DOMAINS, enginesPerDomain: 0 });
  platform.publish('config', manifest);
  const folder = await mkdtemp(join(tmpdir(), 'review-'));
  const entries = new Map();
  const hosts = [];

  const putEntries = () =>
    entries.forEach((entry, id) =>
      platform.memory.put('keyed.servers', [encodeKeyedBody(id, JSON.stringify(entry))]),
    );
  const timer = setInterval(putEntries, ENTRY_INTERVAL_MS);

  const start = async (name, failureDomain) => {
    const settings = await newSettings(name, failureDomain, platform);
    const path = join(folder, `${name}.yaml`);
    // JSON is YAML, too.
    await writeFile(path, JSON.stringify(settings));
    const child = endWithCase(
      spawn(process.execPath, [...COMMAND, path], {
        cwd: ROOT,
        stdio: ['ignore', 'ignore', 'inherit'],
      }),
    );
    const [address, port] = settings.listen.callers.split(':');
    const host = { name, child, address, port: Number(port), readiness: settings.listen.readiness };
    hosts.push(host);
    return host;
  };

  await Promise.all(
    Array.from({ length: count }, (_, index) =>
      start(`front-${index}`, DOMAINS[index % DOMAINS.length]),
    ),
  );

  return {
    platform,
    hosts,
    /** Lists an upstream in the store, and keeps its entry there. */
    list: (id, entry) => {
      entries.set(id, {
        version: 'v1',
        state: 'ready',
        'cold-remaining-ms': 0,
        born: Date.now(),
        ...entry,
      });
      putEntries();
    },
    waitUntilReady: async () => {
      const deadline = Date.now() + READY_TIMEOUT_MS;
      for (;;) {
        const ready = await Promise.all(hosts.map(({ readiness }) => isReady(readiness)));
        if (ready.every(Boolean)) return;
        if (Date.now() > deadline) throw new Error('the hosts did not become ready');
        await sleep(POLL_MS);
      }
    },
    close: async () => {
      clearInterval(timer);
      await Promise.all(
        hosts.map(async ({ child }) => {
          if (child.exitCode !== null || child.signalCode !== null) return;
          const exited = once(child, 'exit');
          child.kill('SIGKILL');
          await exited;
        }),
      );
      await platform.close();
      await rm(folder, { recursive: true });
    },
  };
};
