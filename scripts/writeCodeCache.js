/**
 * Runs a host for some seconds and writes V8's code cache with the functions that it has called. Bundled and
 * run by the build, under the flags of the program: V8 accepts a cache only under the flags that wrote it.
 */
import { rename, writeFile } from 'node:fs/promises';
import { request } from 'node:http';
import { dirname, join } from 'node:path';
import newPlatform, {
  CUSTOMER_KEY,
  HOST_NAME,
} from '@cyclamengate/app-platform-standin/newPlatform';
import findPort from '@cyclamengate/fakes/findPort';
import { stringify } from 'yaml';
import newHostScript, { CACHE_FILE } from '@cyclamengate/app-host/newHostScript';

const START_MS = 1_500;
const RUN_MS = 2_000;
const DOMAIN = 'detroit';

const sleep = (durationMs) =>
  new Promise((resolve) => {
    setTimeout(resolve, durationMs);
  });

const folder = dirname(process.argv[1]);
const platform = await newPlatform({ domains: [DOMAIN], enginesPerDomain: 1 });
const [callers, readiness, peers] = [await findPort(), await findPort(), await findPort()];
const settingsPath = join(folder, 'write-code-cache.yaml');
await writeFile(
  settingsPath,
  stringify({
    host: 'host-0',
    failureDomain: DOMAIN,
    address: '127.0.0.1',
    processor: { cores: 1, share: 1 },
    listen: {
      callers: `127.0.0.1:${callers}`,
      readiness: `127.0.0.1:${readiness}`,
      peers: `127.0.0.1:${peers}`,
      metricsPort: await findPort(),
    },
    store: { address: platform.store.address },
    duties: { address: platform.duties.address },
    terms: { leaseMs: 3_000, shutdownSeconds: 8, usageWindowSeconds: 1, batchLifeSeconds: 120 },
  }),
);

const send = (port, method, path, body = '') =>
  new Promise((resolve, reject) => {
    const headers = { host: HOST_NAME, 'attempt-id': 'r1', 'x-api-key': CUSTOMER_KEY };
    const sent = request({ host: '127.0.0.1', port, method, path, headers }, (response) => {
      response.resume();
      response.on('end', () => resolve(response.statusCode));
    });
    sent.on('error', reject);
    sent.end(body);
  });

process.argv = [...process.argv.slice(0, 2), '--settings', settingsPath];
const script = newHostScript(folder);
script.run();
await sleep(START_MS);
await send(readiness, 'GET', '/');
const lookup = await send(callers, 'POST', '/lookup/7', 'hello');
if (lookup !== 200) throw new Error(`the host answered ${lookup}`);
await sleep(RUN_MS);
const unfinished = join(folder, `${CACHE_FILE}.unfinished`);
await writeFile(unfinished, script.newCache());
await rename(unfinished, join(folder, CACHE_FILE));
process.exit(0);
