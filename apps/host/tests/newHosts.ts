import { spawn } from 'node:child_process';
import type { ChildProcess } from 'node:child_process';
import { once } from 'node:events';
import { createWriteStream } from 'node:fs';
import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import type { Platform } from '@cyclamengate/app-platform-standin/newPlatform';
import { CUSTOMER_KEY, HOST_NAME } from '@cyclamengate/app-platform-standin/newPlatform';
import findPort from '@cyclamengate/fakes/findPort';
import { request as httpRequest } from 'undici';
import { stringify } from 'yaml';

const PROGRAM = fileURLToPath(new URL('../src/main.js', import.meta.url));
/** Environment variable with the folder to which the hosts' logs are written; unset for none. */
const LOG_FOLDER_VARIABLE = 'TEST_LOGS_FOLDER';

/** A host that runs as a process of its own. */
export interface TestHost {
  name: string;
  callers: string;
  readiness: string;
  child: ChildProcess;
  /** Log events of the process, oldest first. */
  events: Record<string, unknown>[];
  /** Sends a signal and waits until the process has exited. */
  end: (signal: NodeJS.Signals) => Promise<void>;
}

export interface Answer {
  status: number;
  headers: Record<string, string | string[] | undefined>;
  body: string;
}

export const send = async (
  host: TestHost,
  method: 'GET' | 'POST' | 'DELETE',
  path: string,
  options: {
    id?: string;
    key?: string | null;
    body?: string;
    headers?: Record<string, string>;
  } = {},
): Promise<Answer> => {
  const { id = 'r1', key = CUSTOMER_KEY, body, headers = {} } = options;
  const answer = await httpRequest(`http://${host.callers}${path}`, {
    method,
    body: body ?? null,
    reset: true,
    headers: {
      host: HOST_NAME,
      'attempt-id': id,
      ...(key === null ? {} : { 'x-api-key': key }),
      ...headers,
    },
  });
  return {
    status: answer.statusCode,
    headers: answer.headers,
    body: await answer.body.text(),
  };
};

export const sleep = (durationMs: number): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, durationMs);
  });

/** Polls a condition until it is met; the timeout of the test ends a wait that never succeeds. */
export const waitUntil = async (isMet: () => Promise<boolean> | boolean): Promise<void> => {
  while (!(await isMet())) await sleep(25);
};

export const isReady = async ({ readiness }: TestHost): Promise<boolean> => {
  try {
    const answer = await httpRequest(`http://${readiness}/v1/readyz`, { reset: true });
    await answer.body.dump();
    return answer.statusCode === 200;
  } catch {
    return false;
  }
};

const saveLog = ({ stdout, pid }: ChildProcess, name: string): void => {
  const folder = process.env[LOG_FOLDER_VARIABLE];
  if (folder) stdout?.pipe(createWriteStream(join(folder, `${name}-${pid}.jsonl`)));
};

/** Starts hosts as separate processes against a stand-in platform. */
export const newHosts = async (
  platform: Platform,
  domains: string[],
  program = PROGRAM,
  regions: Record<string, string> = {},
) => {
  const folder = await mkdtemp(join(tmpdir(), 'cyclamengate-hosts-'));
  const hosts: TestHost[] = [];

  const start = async (name: string, failureDomain: string): Promise<TestHost> => {
    const [callers, readiness] = [await findPort(), await findPort()];
    const [peers, metrics] = [await findPort(), await findPort()];
    const path = join(folder, `${name}.yaml`);
    const settings = {
      host: name,
      failureDomain,
      regions,
      address: '127.0.0.1',
      processor: { cores: 1, share: 1 },
      listen: {
        callers: `127.0.0.1:${callers}`,
        readiness: `127.0.0.1:${readiness}`,
        peers: `127.0.0.1:${peers}`,
        metricsPort: metrics,
      },
      store: { address: platform.store.address },
      duties: { address: platform.duties.address },
      terms: {
        leaseMs: 3_000,
        shutdownSeconds: 8,
        usageWindowSeconds: 1,
        batchLifeSeconds: 120,
      },
    };
    await writeFile(path, stringify(settings));
    const child = spawn(process.execPath, [program, '--settings', path], {
      stdio: ['ignore', 'pipe', 'inherit'],
    });
    saveLog(child, name);
    const events: Record<string, unknown>[] = [];
    let incompleteLine = '';
    child.stdout?.on('data', (chunk: Buffer) => {
      const lines = (incompleteLine + chunk.toString()).split('\n');
      incompleteLine = lines.pop() ?? '';
      events.push(...lines.map((line) => JSON.parse(line) as Record<string, unknown>));
    });
    const end = async (signal: NodeJS.Signals): Promise<void> => {
      if (child.exitCode !== null || child.signalCode !== null) return;
      const exited = once(child, 'exit');
      child.kill(signal);
      await exited;
    };
    const host = {
      name,
      callers: settings.listen.callers,
      readiness: settings.listen.readiness,
      child,
      events,
      end,
    };
    hosts.push(host);
    return host;
  };

  await Promise.all(domains.map((domain, index) => start(`host-${index}`, domain)));
  await waitUntil(async () => {
    const ended = hosts.find(({ child }) => child.exitCode !== null || child.signalCode !== null);
    if (ended) throw new Error(`${ended.name} ended as it started`);
    const ready = await Promise.all(hosts.map(isReady));
    return ready.every(Boolean);
  });
  return {
    hosts,
    start,
    close: async (): Promise<void> => {
      await Promise.all(hosts.map(({ end }) => end('SIGKILL')));
      await rm(folder, { recursive: true });
    },
  };
};
