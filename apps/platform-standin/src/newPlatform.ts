import newMemoryStore, { encodeKeyedBody } from '@cyclamengate/store/newMemoryStore';
import listenOnLoopback from './listenOnLoopback.js';
import newEngineServer from './newEngineServer.js';
import type { EngineServer } from './newEngineServer.js';
import newPlainServer from './newPlainServer.js';
import type { PlainServer } from './newPlainServer.js';
import newStoreServer from './newStoreServer.js';
import { readBody, sendJson } from './httpBodies.js';

const HEARTBEAT_INTERVAL_MS = 300;
export const HOST_NAME = 'parts.example';
export const MODEL = 'sweep-seals';
export const CUSTOMER_KEY = 'key-of-the-museum';

export interface PlatformOptions {
  /** The failure domains; each gets its own engines and one upstream of the plain service. */
  domains: string[];
  enginesPerDomain: number;
}

/** Creates the operator's initial settings; tests publish modified copies. */
export const newOperatorSettings = (version = 1) => ({
  version,
  routes: [
    {
      name: 'lookups',
      host: HOST_NAME,
      'path-prefix': '/lookup/',
      kind: 'idempotent',
      'timeout-ms': 1_500,
      'target-latency-ms': 150,
      'max-attempts': 3,
      priority: 1,
      service: 'portal',
    },
    {
      name: 'deposits',
      host: HOST_NAME,
      'path-prefix': '/deposit/',
      kind: 'non_idempotent',
      'timeout-ms': 1_500,
      'max-attempts': 3,
      service: 'portal',
    },
    {
      name: 'rounds',
      host: HOST_NAME,
      'path-prefix': '/rounds/',
      kind: 'rollout',
      'timeout-ms': 10_000,
      'max-attempts': 3,
      'result-deadline-ms': 7_500,
      'retention-s': 40,
      service: 'models',
    },
  ],
  services: [
    { name: 'models', 'max-connections': 140, engine: { models: [{ name: MODEL }] } },
    { name: 'portal', 'max-connections': 100 },
  ],
  limits: {
    'max-header-bytes': 16_384,
    'max-body-bytes': 1_048_576,
    'header-timeout-ms': 3_000,
    'idle-timeout-ms': 15_000,
  },
  tenants: [{ name: 'museum', 'api-keys': [CUSTOMER_KEY] }],
});

/** Runs the system's external services on loopback: store, engines, plain service and duties. */
const newPlatform = async ({ domains, enginesPerDomain }: PlatformOptions) => {
  const memory = newMemoryStore();
  const store = await newStoreServer(memory);
  const reports: { holder: string; token: number; window: number; counts: unknown }[] = [];
  const duties = await listenOnLoopback(async (request, response) => {
    const body = JSON.parse((await readBody(request)).toString()) as Record<string, unknown>;
    const { 'window-id': window, counts } = body;
    const { headers } = request;
    const holder = String(headers['duty-holder']);
    const token = Number(headers['fencing-token']);
    if (request.url === '/usage') reports.push({ holder, token, window: Number(window), counts });
    sendJson(response, 200, {});
  });
  const engines: (EngineServer & { domain: string; isListed: boolean })[] = [];
  const plain: (PlainServer & { domain: string })[] = [];
  for (const domain of domains) {
    for (let index = 0; index < enginesPerDomain; index += 1) {
      const engine = await newEngineServer(`engine-${domain}-${index}`, [MODEL]);
      engines.push({ ...engine, domain, isListed: true });
    }
    plain.push({ ...(await newPlainServer(`portal-${domain}`)), domain });
  }

  const putServerEntry = (id: string, fields: Record<string, unknown>): void => {
    const entry = { version: 'v1', state: 'ready', 'cold-remaining-ms': 0, ...fields };
    memory.put('keyed.servers', [encodeKeyedBody(id, JSON.stringify(entry))]);
  };

  const putServerEntries = (): void => {
    engines
      .filter(({ isListed }) => isListed)
      .forEach(({ id, address, domain, versions, crashCount }) =>
        putServerEntry(id, {
          born: 1 + crashCount(),
          service: 'models',
          address,
          zone: domain,
          slots: 8,
          models: [...versions].map(([name, version]) => ({ name, version, adapters: [] })),
        }),
      );
    plain.forEach(({ id, address, domain, crashCount }) =>
      putServerEntry(id, {
        born: 1 + crashCount(),
        service: 'portal',
        address,
        zone: domain,
        slots: 6,
      }),
    );
  };

  const publish = (key: string, value: unknown): number =>
    memory.put('keyed.op', [encodeKeyedBody(key, JSON.stringify(value))]);

  const withdraw = (key: string): number => memory.put('keyed.op', [encodeKeyedBody(key, '')]);

  putServerEntries();
  const timer = setInterval(putServerEntries, HEARTBEAT_INTERVAL_MS);
  publish('config', newOperatorSettings());

  return {
    memory,
    store,
    duties,
    reports,
    engines,
    plain,
    publish,
    /** Deletes an operator's record. */
    withdraw,
    publishVersion: (version: number): number =>
      publish(`version/${MODEL}`, { model: MODEL, version }),
    close: async (): Promise<void> => {
      clearInterval(timer);
      const servers = [store, duties, ...engines, ...plain];
      await Promise.all(servers.map(({ close }) => close()));
    },
  };
};

export type Platform = Awaited<ReturnType<typeof newPlatform>>;

export default newPlatform;
