import { spawn } from 'node:child_process';
import type { ChildProcess } from 'node:child_process';
import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { request } from 'undici';
import findPort from './findPort.js';

/** The root folder of the repository. */
export const ROOT = fileURLToPath(new URL('../../../../', import.meta.url));
const READY_TIMEOUT_MS = 60_000;
const POLL_INTERVAL_MS = 50;
/** Length of the program's last output in the error when the program does not become ready. */
const MAX_ERROR_OUTPUT_CHARS = 1_000;

/** A daemon started for a test, the demo or a measurement. */
export interface StartedDaemon {
  id: string;
  url: string;
  peerUrl: string;
  child: ChildProcess;
}

export interface FinishedRun {
  status: number | null;
  text: string;
}

export interface DaemonOptions {
  seeds?: string[];
  entries?: string[];
  usageWindowSeconds?: number;
  /** Flags of the Node.js runtime, e.g. heap limits. */
  nodeArgs?: string[];
  /** URLs by platform service, for the services that are not at the default platform URL. */
  platform?: Record<string, string>;
}

export const sleep = (delayMs: number): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, delayMs);
  });

/** Polls until a condition holds; throws after the timeout. A check that throws counts as false. */
export const waitUntil = async (
  condition: string,
  check: () => Promise<boolean>,
  timeoutMs = READY_TIMEOUT_MS,
): Promise<void> => {
  const deadline = performance.now() + timeoutMs;
  while (performance.now() < deadline) {
    if (await check().catch(() => false)) return;
    await sleep(POLL_INTERVAL_MS);
  }
  throw new Error(`timed out waiting for: ${condition}`);
};

const isOk = async (url: string): Promise<boolean> => {
  const response = await request(url);
  await response.body.dump();
  return response.statusCode === 200;
};

const programPath = (app: string): string => join(ROOT, 'apps', app, 'bin', 'main.js');

/** Starts the project's programs as child processes, with their settings in a temporary folder. */
const newProcesses = async () => {
  const folder = await mkdtemp(join(tmpdir(), 'cyclamengate-'));
  const children = new Set<ChildProcess>();

  const start = (app: string, args: string[], nodeArgs: string[] = []): ChildProcess => {
    const child = spawn(process.execPath, [...nodeArgs, programPath(app), ...args], {
      stdio: ['ignore', 'ignore', 'pipe'],
    });
    children.add(child);
    child.once('exit', () => children.delete(child));
    return child;
  };

  /** Runs a program until it exits and returns its status and output. */
  const run = (app: string, args: string[]): Promise<FinishedRun> =>
    new Promise((resolve) => {
      const child = spawn(process.execPath, [programPath(app), ...args], {
        stdio: ['ignore', 'pipe', 'pipe'],
      });
      const output: Buffer[] = [];
      child.stdout.on('data', (chunk: Buffer) => output.push(chunk));
      child.stderr.on('data', (chunk: Buffer) => output.push(chunk));
      child.once('exit', (status) =>
        resolve({ status, text: Buffer.concat(output).toString().trim() }),
      );
    });

  const startPlatform = async (args: string[] = []) => {
    const port = await findPort();
    const child = start('standin', ['--port', String(port), ...args]);
    child.stderr?.resume();
    const url = `http://127.0.0.1:${port}`;
    await waitUntil('the platform stand-in', () => isOk(`${url}/counts`));
    return { url, child };
  };

  /** Writes a settings file for a daemon, starts the daemon and waits until it listens. */
  const startDaemon = async (
    app: string,
    id: string,
    failureDomain: string,
    platformUrl: string,
    { nodeArgs, platform, ...options }: DaemonOptions = {},
  ): Promise<StartedDaemon & { output: string[] }> => {
    const listen = await findPort();
    const peer = await findPort();
    const services = ['log', 'orders', 'reports', 'hosts'];
    const settings = {
      id,
      failureDomain,
      listen: { host: '127.0.0.1', port: listen },
      peer: { host: '127.0.0.1', port: peer },
      platform: Object.fromEntries(
        services.map((service) => [service, platform?.[service] ?? platformUrl]),
      ),
      ...options,
    };
    const path = join(folder, `${id}.yaml`);
    // JSON is valid YAML.
    await writeFile(path, JSON.stringify(settings));
    const child = start(app, ['--settings', path], nodeArgs);
    const output: string[] = [];
    child.stderr?.on('data', (chunk: Buffer) => output.push(chunk.toString()));
    const url = `http://127.0.0.1:${listen}`;
    await waitUntil(id, () => isOk(`${url}/live`)).catch((error: Error) => {
      throw new Error(
        `${error.message}; last output: ${output.join('').slice(-MAX_ERROR_OUTPUT_CHARS)}`,
      );
    });
    return { id, url, peerUrl: `http://127.0.0.1:${peer}`, child, output };
  };

  const end = (child: ChildProcess, signal: NodeJS.Signals): Promise<void> =>
    new Promise((resolve) => {
      if (child.exitCode !== null || child.signalCode !== null) {
        resolve();
        return;
      }
      child.once('exit', () => resolve());
      child.kill(signal);
    });

  const stopAll = async (signal: NodeJS.Signals = 'SIGTERM'): Promise<void> => {
    await Promise.all([...children].map((child) => end(child, signal)));
    await rm(folder, { recursive: true, force: true });
  };

  return { run, startPlatform, startDaemon, end, stopAll, folder };
};

export type Processes = Awaited<ReturnType<typeof newProcesses>>;

export default newProcesses;
