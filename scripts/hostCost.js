/**
 * Measures the processor time of one bundled host in a fleet: its start, and a second of idling.
 *
 *   node scripts/hostCost.js [--hosts 70] [--upstreams 60] [--seconds 20] [--rounds 3] -- VARIANT...
 *
 * A variant is a command line of node without `--settings`, for example "target/cyclamengate-host.cjs" or
 * "--max-lazy target/cyclamengate-host.cjs". All variants take turns in each round, since what else runs
 * on the machine changes processor time too; the least of the rounds says most.
 *
 * The stand-in of the platform is fed as by a fleet: each host's heartbeats and each upstream's entries
 * at their own intervals, after a history of some seconds. Calls to the other hosts are answered by one.
 */
import { spawn } from 'node:child_process';
import { once } from 'node:events';
import { mkdtemp, readdir, readFile, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { parseArgs } from 'node:util';
import newPlatform from '@cyclamengate/app-platform-standin/newPlatform';
import findPort from '@cyclamengate/fakes/findPort';
import { encodeKeyedBody } from '@cyclamengate/store/newMemoryStore';
import { stringify } from 'yaml';

const ROOT = fileURLToPath(new URL('..', import.meta.url));
const DEFAULT_VARIANT = '--max-old-space-size=220 target/cyclamengate-host.cjs';
const DOMAINS = ['detroit', 'cleveland', 'toledo'];
const HEARTBEAT_INTERVAL_MS_PER_HOST = 15;
const ENTRY_INTERVAL_MS = 1_200;
const HISTORY_SECONDS = 40;
const START_SECONDS = 2.5;
const SETTLE_SECONDS = 5;
const MS_PER_SECOND = 1_000;
const NS_PER_MS = 1e6;

const { values, positionals } = parseArgs({
  options: {
    hosts: { type: 'string', default: '70' },
    upstreams: { type: 'string', default: '60' },
    seconds: { type: 'string', default: '20' },
    rounds: { type: 'string', default: '3' },
  },
  allowPositionals: true,
});
const hostCount = Number(values.hosts);
const upstreamCount = Number(values.upstreams);
const idleSeconds = Number(values.seconds);
const variants = positionals.length > 0 ? positionals : [DEFAULT_VARIANT];

const sleep = (seconds) =>
  new Promise((resolve) => {
    setTimeout(resolve, seconds * MS_PER_SECOND);
  });

const platform = await newPlatform({ domains: DOMAINS, enginesPerDomain: 1 });
const folder = await mkdtemp(join(tmpdir(), 'cyclamengate-cost-'));

const startHost = async (name, variant, peers) => {
  const [callers, readiness, metricsPort] = [await findPort(), await findPort(), await findPort()];
  const path = join(folder, `${name}.yaml`);
  const settings = {
    host: name,
    failureDomain: DOMAINS[0],
    regions: {},
    address: '127.0.0.1',
    processor: { cores: 0.01, share: 1 },
    listen: {
      callers: `127.0.0.1:${callers}`,
      readiness: `127.0.0.1:${readiness}`,
      peers: `127.0.0.1:${peers}`,
      metricsPort,
    },
    store: { address: platform.store.address },
    duties: { address: platform.duties.address },
    terms: { leaseMs: 3_000, shutdownSeconds: 8, usageWindowSeconds: 1, batchLifeSeconds: 120 },
  };
  await writeFile(path, stringify(settings));
  return spawn(process.execPath, [...variant.split(' '), '--settings', path], {
    cwd: ROOT,
    stdio: ['ignore', 'ignore', 'inherit'],
  });
};

const answeringPort = await findPort();
const answering = await startHost('answering', DEFAULT_VARIANT, answeringPort);

const newHeartbeat = (index, number) => ({
  type: 'heartbeat',
  host: `member-${String(index).padStart(3, '0')}`,
  incarnation: `member-${index}-0123456789abcdef`,
  number,
  failureDomain: DOMAINS[index % DOMAINS.length],
  address: `127.0.0.1:${answeringPort}`,
  cores: 0.01,
  isLeaving: false,
  running: index % 3 === 0 ? { [`engine-${index % upstreamCount}`]: 1 + (number % 3) } : {},
  usage: number % 4 === 0 ? { [String(1_000 + Math.floor(number / 8))]: { museum: 3 } } : {},
  countedThrough: 1_000 + Math.floor(number / 8),
});

const putHeartbeat = (index, number) =>
  platform.memory.put('coordination', [Buffer.from(JSON.stringify(newHeartbeat(index, number)))]);

const putEntry = (index, sequence) =>
  platform.memory.put('keyed.servers', [
    encodeKeyedBody(
      `engine-${index}`,
      JSON.stringify({
        seq: sequence,
        born: 1,
        service: 'spare',
        address: `127.0.0.1:${2_000 + index}`,
        zone: DOMAINS[index % DOMAINS.length],
        slots: 8,
        version: 'v1',
        state: 'ready',
        'cold-remaining-ms': 0,
        models: [{ name: 'spare-model', version: 1, adapters: [] }],
      }),
    ),
  ]);

const heartbeatIntervalMs = Math.max(500, hostCount * HEARTBEAT_INTERVAL_MS_PER_HOST);
const historyLength = Math.round((HISTORY_SECONDS * MS_PER_SECOND) / heartbeatIntervalMs);
for (let number = 1; number <= historyLength; number += 1)
  for (let index = 0; index < hostCount; index += 1) putHeartbeat(index, number);

/** Calls for each index once an interval, spread evenly over it. */
const feed = (count, intervalMs, put) => {
  const startedAt = performance.now();
  let sent = 0;
  return setInterval(() => {
    const due = Math.floor(((performance.now() - startedAt) * count) / intervalMs);
    for (; sent < due; sent += 1) put(sent % count, historyLength + 1 + Math.floor(sent / count));
  }, 5);
};
let trimmed = 0;
/** Without this, later rounds would read a longer history. */
const trimHistory = () => {
  const { length } = platform.memory.bodies('coordination');
  const excess = length - historyLength * hostCount;
  trimmed += Math.max(0, excess);
  platform.memory.trim('coordination', trimmed);
};
const timers = [
  setInterval(trimHistory, MS_PER_SECOND),
  feed(hostCount, heartbeatIntervalMs, putHeartbeat),
  feed(upstreamCount, ENTRY_INTERVAL_MS, putEntry),
];
await sleep(2);

/** Processor time of all threads of a process. */
const readCpuMs = async (pid) => {
  const threads = await readdir(`/proc/${pid}/task`);
  const times = await Promise.all(
    threads.map(async (thread) =>
      Number((await readFile(`/proc/${pid}/task/${thread}/schedstat`, 'utf8')).split(' ')[0]),
    ),
  );
  return times.reduce((sum, time) => sum + time, 0) / NS_PER_MS;
};

const readPeakMb = async (pid) => {
  const status = await readFile(`/proc/${pid}/status`, 'utf8');
  return Number(/VmHWM:\s+(\d+)/.exec(status)?.[1]) / 1024;
};

const measure = async (variant, round) => {
  const child = await startHost(`measured-${round}`, variant, await findPort());
  await sleep(START_SECONDS);
  const startMs = await readCpuMs(child.pid);
  await sleep(SETTLE_SECONDS);
  const before = await readCpuMs(child.pid);
  await sleep(idleSeconds);
  const idleMs = ((await readCpuMs(child.pid)) - before) / idleSeconds;
  const peakMb = await readPeakMb(child.pid);
  // Not SIGKILL, so that V8 writes a profile if a flag asks for one.
  child.kill('SIGTERM');
  await once(child, 'exit');
  return { startMs: Math.round(startMs), idleMs: Number(idleMs.toFixed(1)), peakMb };
};

const results = new Map(variants.map((variant) => [variant, []]));
for (let round = 0; round < Number(values.rounds); round += 1)
  for (const variant of variants) results.get(variant).push(await measure(variant, round));

results.forEach((rounds, variant) => {
  const sorted = (field) => rounds.map((round) => round[field]).toSorted((a, b) => a - b);
  const [starts, idles] = [sorted('startMs'), sorted('idleMs')];
  const peakMb = Math.round(Math.max(...sorted('peakMb')));
  process.stdout.write(
    `${variant}: start ${starts[0]} ms (${starts}), idle ${idles[0]} ms/s (${idles}), ${peakMb} MB\n`,
  );
});

timers.forEach(clearInterval);
answering.kill('SIGTERM');
await once(answering, 'exit');
await platform.close();
await rm(folder, { recursive: true });
