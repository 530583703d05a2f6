import newProcesses, { waitUntil } from '@cyclamengate/fakes/newProcesses';
import type { DaemonOptions, StartedDaemon } from '@cyclamengate/fakes/newProcesses';
import newPlatformStandin from '@cyclamengate/app-standin/newPlatformStandin';
import type { PlatformStandinOptions } from '@cyclamengate/app-standin/newPlatformStandin';
import { writeFile } from 'node:fs/promises';
import { join } from 'node:path';
import { request } from 'undici';

const DOMAINS = ['nafplio-a', 'nafplio-b', 'argos-c'];
export const EXAMPLE = 'examples/papadakis.yaml';

/** A caller's answer, read to its end. */
export interface CallerAnswer {
  status: number;
  headers: Record<string, string | string[] | undefined>;
  text: string;
}

export const keyOf = (customer: string): string => `cgk_demo-${customer}`;

export const post = async (
  url: string,
  customer: string,
  body: unknown,
  headers: Record<string, string> = {},
): Promise<CallerAnswer> => {
  const answer = await request(url, {
    method: 'POST',
    headers: {
      authorization: `Bearer ${keyOf(customer)}`,
      'content-type': 'application/json',
      ...headers,
    },
    body: JSON.stringify(body),
  });
  const text = await answer.body.text();
  return { status: answer.statusCode, headers: answer.headers, text };
};

export const isWhole = ({ text }: CallerAnswer): boolean => text.endsWith('data: [DONE]\n\n');

/** The example deployment as real processes, before a platform stand-in in the test's process. */
const newSystem = async (
  entries: number,
  standinOptions: Partial<PlatformStandinOptions> = {},
  daemonOptions: DaemonOptions = {},
) => {
  const processes = await newProcesses();
  const platform = await newPlatformStandin({ port: 0, ...standinOptions });
  const daemons: Awaited<ReturnType<typeof processes.startDaemon>>[] = [];

  const startOne = async (app: string, id: string, domain: number, options: DaemonOptions = {}) => {
    const started = await processes.startDaemon(
      app,
      id,
      DOMAINS[domain % 3] as string,
      platform.url,
      {
        usageWindowSeconds: 2,
        ...daemonOptions,
        seeds: daemons.slice(0, 2).map(({ peerUrl }) => peerUrl),
        ...options,
      },
    );
    daemons.push(started);
    return started;
  };

  for (let index = 0; index < entries; index += 1) {
    await startOne('entry', `entry-${index + 1}`, index);
  }
  const control = await startOne('control', 'control-1', 0);
  const first = daemons[0]!;

  const publish = async (yaml: string, operator = 'platform-admin', wait = 30) => {
    const path = join(processes.folder, `publication-${Math.random()}.yaml`);
    await writeFile(path, yaml);
    return processes.run('cli', [
      'publish',
      path,
      '--operator',
      operator,
      '--log',
      platform.url,
      '--peer',
      first.peerUrl,
      '--wait',
      String(wait),
      '--json',
    ]);
  };

  const publishExample = () =>
    processes.run('cli', [
      'publish',
      EXAMPLE,
      '--operator',
      'platform-admin',
      '--log',
      platform.url,
      '--peer',
      first.peerUrl,
      '--wait',
      '30',
    ]);

  const complete = (
    entry: StartedDaemon,
    customer: string,
    more: Record<string, unknown> = {},
    headers: Record<string, string> = {},
  ) =>
    post(
      `${entry.url}/v1/completions`,
      customer,
      { model: 'tone-assistant', prompt: 'low D rings', max_tokens: 8, stream: true, ...more },
      headers,
    );

  /** Publishes the example and waits until every entry serves. */
  const begin = async (): Promise<void> => {
    const published = await publishExample();
    if (published.status !== 0) throw new Error(published.text);
    const own = daemons.filter(({ id }) => id.startsWith('entry'));
    await Promise.all(
      own.map((entry) =>
        waitUntil(`${entry.id} serves`, async () => isWhole(await complete(entry, 'players'))),
      ),
    );
  };

  const stop = async (): Promise<void> => {
    daemons.forEach(({ child }) => child.kill('SIGCONT'));
    await processes.stopAll('SIGKILL');
    platform.close();
  };

  return {
    processes,
    platform,
    daemons,
    entries: daemons.filter(({ id }) => id.startsWith('entry')),
    control,
    startOne,
    begin,
    complete,
    publish,
    stop,
  };
};

export default newSystem;
