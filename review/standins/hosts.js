/** Starts hosts as the deploy file does: its command, with its template of settings. */
import { spawn } from 'node:child_process';
import { once } from 'node:events';
import { createWriteStream } from 'node:fs';
import { mkdtemp, readFile, rm, writeFile } from 'node:fs/promises';
import { request as httpRequest } from 'node:http';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import findPort from '@cyclamengate/fakes/findPort';
import { sleep } from './record.js';

const PROGRAM = ['--max-old-space-size=220', 'target/cyclamengate-host.cjs', '--settings'];
const START_TIMEOUT_MS = 20_000;
/** A process that ends is started again after this time. */
const RESTART_MS = 1_000;
const MEMORY_CHECK_MS = 50;
const KB_IN_MB = 1_024;

/** Fills in the placeholders of the template. */
const fillIn = (template, fields) =>
  template.replace(/\{\{([^|}]+)(\|json)?\}\}/g, (_, name, json) => {
    const value = fields[name];
    return json ? JSON.stringify(value) : String(value);
  });

export const isReady = (address) =>
  new Promise((resolve) => {
    const call = httpRequest(`http://${address}/v1/readyz`, { agent: false }, (answer) => {
      answer.resume();
      resolve(answer.statusCode === 200);
    });
    call.on('error', () => resolve(false));
    call.end();
  });

/** Memory of a process that no file backs, in MB. */
const readMemoryMb = async (pid) => {
  const status = await readFile(`/proc/${pid}/status`, 'utf8').catch(() => '');
  return Number(/RssAnon:\s+(\d+) kB/.exec(status)?.[1] ?? 0) / KB_IN_MB;
};

const newSettings = async (template, platform, zones, name, zone) => {
  const [front, ready, peers, metrics] = [
    await findPort(),
    await findPort(),
    await findPort(),
    await findPort(),
  ];
  const text = fillIn(template, {
    node: name,
    zone,
    zones: Object.fromEntries(zones.map((each) => [each, 'great-lakes'])),
    ip: '127.0.0.1',
    'limits.cores': 2,
    'limits.cpu-share': 0.675,
    'listen.front': `127.0.0.1:${front}`,
    'listen.ready': `127.0.0.1:${ready}`,
    'internal-ports.0': peers,
    'platform.address': platform.storeAddress,
    'cloud-api.address': platform.dutiesAddress,
    'bounds.lease-ms': 3_000,
    'bounds.grace-s': 8,
    'bounds.report-window-s': 5,
    'bounds.status-s': 120,
  }).replace('metricsPort: 9464', `metricsPort: ${metrics}`);
  return { front: `127.0.0.1:${front}`, ready: `127.0.0.1:${ready}`, text };
};

/**
 * @param zones the zone of each host
 * @param memoryMb a process that exceeds it is killed; null for no limit
 */
export const startHosts = async (record, platform, zones, memoryMb = null) => {
  const folder = await mkdtemp(join(tmpdir(), 'review-hosts-'));
  const template = await readFile('deploy/host.yaml', 'utf8');
  let isClosing = false;

  const start = async (name, zone) => {
    const { front, ready, text } = await newSettings(template, platform, zones, name, zone);
    const path = join(folder, `${name}.yaml`);
    await writeFile(path, text);
    const host = { name, zone, front, ready, child: null, ownEnds: 0, peakMb: 0 };
    const run = () => {
      const child = spawn(process.execPath, [...PROGRAM, path], {
        stdio: ['ignore', 'pipe', 'ignore'],
      });
      host.child = child;
      host.isOver = false;
      if (process.env.REVIEW_LOGS) {
        child.stdout.pipe(createWriteStream(join(process.env.REVIEW_LOGS, `${name}.jsonl`)));
      } else child.stdout.resume();
      child.once('exit', (code, signal) => {
        if (isClosing || host.isStopped) return;
        host.ownEnds += 1;
        record.add(
          `${name} ended: ${host.isOver ? 'over the memory limit' : `status ${code}, signal ${signal}`}`,
        );
        setTimeout(() => {
          if (!isClosing) run();
        }, RESTART_MS);
      });
    };
    run();
    return host;
  };

  const hosts = await Promise.all(
    zones.map((zone, index) => start(`front-${zone}-${index + 1}`, zone)),
  );
  const hasEnded = ({ child }) => child.exitCode !== null || child.signalCode !== null;
  const checkMemory = async (host) => {
    const { child } = host;
    if (hasEnded(host) || host.isOver) return;
    const usedMb = await readMemoryMb(child.pid);
    if (host.child !== child || host.isOver) return;
    host.peakMb = Math.max(host.peakMb, usedMb);
    if (memoryMb === null || usedMb <= memoryMb) return;
    record.add(`${host.name} uses ${Math.round(usedMb)} MB`);
    host.isOver = true;
    child.kill('SIGKILL');
  };
  // No host outlives the case, however that ends.
  const killAll = () => hosts.forEach(({ child }) => child.kill('SIGKILL'));
  process.once('exit', killAll);
  process.once('SIGTERM', () => {
    killAll();
    process.kill(process.pid, 'SIGKILL');
  });
  const memoryTimer = setInterval(() => hosts.forEach(checkMemory), MEMORY_CHECK_MS);

  const stop = async (host, signal) => {
    host.isStopped = true;
    if (hasEnded(host)) return;
    const exited = once(host.child, 'exit');
    host.child.kill(signal);
    await exited;
  };
  const close = async () => {
    isClosing = true;
    clearInterval(memoryTimer);
    await Promise.all(hosts.map((host) => stop(host, 'SIGKILL')));
    await rm(folder, { recursive: true });
  };

  const startedAt = Date.now();
  const areReady = async () =>
    (await Promise.all(hosts.map(({ ready }) => isReady(ready)))).every(Boolean);
  while (!(await areReady())) {
    if (Date.now() > startedAt + START_TIMEOUT_MS) {
      await close();
      throw new Error('the hosts did not become ready');
    }
    await sleep(50);
  }
  const add = async (name, zone) => {
    hosts.push(await start(name, zone));
    record.add(`${name} is added`);
  };
  return { hosts, add, stop, close };
};

/** Sends one call of a client on a new channel. */
export const send = (host, method, path, headers, body = '') =>
  new Promise((resolve) => {
    const call = httpRequest(
      `http://${host.front}${path}`,
      { method, agent: false, headers: { ...headers, 'content-length': Buffer.byteLength(body) } },
      (answer) => {
        const chunks = [];
        answer.on('data', (chunk) => chunks.push(chunk));
        answer.on('error', () => resolve({ status: null, body: '' }));
        answer.on('end', () => {
          resolve({
            status: answer.statusCode,
            headers: answer.headers,
            body: Buffer.concat(chunks).toString(),
          });
        });
      },
    );
    call.on('error', () => resolve({ status: null, body: '' }));
    call.end(body);
  });
