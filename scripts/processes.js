/** Starting and ending the programs, for the demo and the measurements. The product itself starts none. */
import { spawn } from 'node:child_process';
import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { createServer } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { fetch } from 'undici';

const ROOT = fileURLToPath(new URL('..', import.meta.url));
const READY_TIMEOUT_MS = 30_000;
const POLL_MS = 50;

export const sleep = (delayMs) =>
  new Promise((resolve) => {
    setTimeout(resolve, delayMs);
  });

/** A port of the loopback address that nobody uses now. */
export const findPort = () =>
  new Promise((resolve, reject) => {
    const server = createServer();
    server.once('error', reject);
    server.listen(0, '127.0.0.1', () => {
      const { port } = server.address();
      server.close(() => resolve(port));
    });
  });

export const waitUntil = async (what, check, timeoutMs = READY_TIMEOUT_MS) => {
  const deadline = performance.now() + timeoutMs;
  while (performance.now() < deadline) {
    if (await check().catch(() => false)) return;
    await sleep(POLL_MS);
  }
  throw new Error(`gave up waiting: ${what}`);
};

/** The programs of one run, each with its settings in a folder that goes with them. */
export const newProcesses = async () => {
  const folder = await mkdtemp(join(tmpdir(), 'cyclamengate-'));
  const children = new Set();

  const start = (app, args, options = {}) => {
    const child = spawn(
      process.execPath,
      [...(options.nodeArgs ?? []), join(ROOT, 'apps', app, 'bin', 'main.js'), ...args],
      { stdio: ['ignore', options.stdout ?? 'ignore', options.isLoud ? 'inherit' : 'ignore'] },
    );
    children.add(child);
    child.once('exit', () => children.delete(child));
    return child;
  };

  /** Runs a program to its end and gives what it printed. */
  const run = (app, args) =>
    new Promise((resolve) => {
      const child = spawn(process.execPath, [join(ROOT, 'apps', app, 'bin', 'main.js'), ...args], {
        stdio: ['ignore', 'pipe', 'pipe'],
      });
      const output = [];
      child.stdout.on('data', (chunk) => output.push(chunk));
      child.stderr.on('data', (chunk) => output.push(chunk));
      child.once('exit', (status) =>
        resolve({ status, text: Buffer.concat(output).toString().trim() }),
      );
    });

  const startPlatform = async (args = []) => {
    const port = await findPort();
    const child = start('standin', ['--port', String(port), ...args]);
    const url = `http://127.0.0.1:${port}`;
    await waitUntil('the platform stand-in', async () => (await fetch(`${url}/counts`)).ok);
    return { url, child };
  };

  /** Starts a daemon with settings of its own and waits until it listens. */
  const startDaemon = async (app, id, failureDomain, platformUrl, more = {}) => {
    const listen = await findPort();
    const peer = await findPort();
    const { nodeArgs, ...settingsMore } = more;
    const settings = {
      id,
      failureDomain,
      listen: { host: '127.0.0.1', port: listen },
      peer: { host: '127.0.0.1', port: peer },
      platform: {
        log: platformUrl,
        orders: platformUrl,
        reports: platformUrl,
        hosts: platformUrl,
        weights: platformUrl,
      },
      ...settingsMore,
    };
    const path = join(folder, `${id}.yaml`);
    await writeFile(path, JSON.stringify(settings));
    const child = start(app, ['--settings', path], { nodeArgs });
    const url = `http://127.0.0.1:${listen}`;
    await waitUntil(id, async () => (await fetch(`${url}/live`)).ok);
    return { id, url, peerUrl: `http://127.0.0.1:${peer}`, child };
  };

  const end = (child, signal) =>
    new Promise((resolve) => {
      if (child.exitCode !== null || child.signalCode !== null) {
        resolve();
        return;
      }
      child.once('exit', resolve);
      child.kill(signal);
    });

  const stopAll = async (signal = 'SIGTERM') => {
    await Promise.all([...children].map((child) => end(child, signal)));
    await rm(folder, { recursive: true, force: true });
  };

  return { start, run, startPlatform, startDaemon, end, stopAll, folder };
};
