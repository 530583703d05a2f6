import { readFile, writeFile } from 'node:fs/promises';
import { join } from 'node:path';
import newPlatformStandin from '@cyclamengate/app-standin/newPlatformStandin';
import type { PlatformStandinOptions } from '@cyclamengate/app-standin/newPlatformStandin';
import digest from '@cyclamengate/common/digest';
import { request } from 'undici';
import { isWhole, keyOf, post } from './callers.js';
import newForwarder from './newForwarder.js';
import type { Forwarder } from './newForwarder.js';
import newProcesses, { ROOT, waitUntil } from './newProcesses.js';
import type { DaemonOptions, StartedDaemon } from './newProcesses.js';

const DOMAINS = ['nafplio-a', 'nafplio-b', 'argos-c'];
const EXAMPLE = join(ROOT, 'examples/papadakis.yaml');

/** The example deployment as real processes, before a platform stand-in in the test's process. */
const newSystem = async (
  entries: number,
  standinOptions: Partial<PlatformStandinOptions> = {},
  daemonOptions: DaemonOptions = {},
) => {
  const processes = await newProcesses();
  const platform = await newPlatformStandin({ port: 0, ...standinOptions });
  const forwarders: Forwarder[] = [];
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

  /** Starts a daemon that reaches the platform through a forwarder, which can be cut. */
  const startBehindForwarder = async (
    app: string,
    id: string,
    domain: number,
    options: DaemonOptions = {},
  ) => {
    const forwarder = await newForwarder(platform.url);
    forwarders.push(forwarder);
    const services = ['log', 'orders', 'reports', 'hosts'];
    const through = Object.fromEntries(services.map((service) => [service, forwarder.url]));
    const daemon = await startOne(app, id, domain, { ...options, platform: through });
    return { forwarder, daemon };
  };

  const readExample = (): Promise<string> => readFile(EXAMPLE, 'utf8');

  /** The example settings with one text replaced everywhere. */
  const exampleWith = async (text: string, by: string): Promise<string> => {
    const example = await readExample();
    if (!example.includes(text)) throw new Error(`the example has no ${text}`);
    return example.replaceAll(text, by);
  };

  /** The example settings with a customer's key withdrawn. */
  const exampleWithoutKey = async (customer: string): Promise<string> => {
    const line = `digest: ${digest(keyOf(customer))}`;
    return (await readExample()).replace(line, `${line}\n        withdrawn: true`);
  };

  /** Appends records of somebody else's, so that the log's retention moves on. */
  const appendForeign = async (count: number): Promise<void> => {
    const bodies = Array.from({ length: count }, () => '{"foreign":true}');
    const answer = await request(`${platform.url}/log/append`, {
      method: 'POST',
      body: JSON.stringify({ bodies }),
    });
    await answer.body.dump();
  };

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
    forwarders.forEach((forwarder) => forwarder.close());
    platform.close();
  };

  return {
    processes,
    platform,
    daemons,
    entries: daemons.filter(({ id }) => id.startsWith('entry')),
    control,
    startOne,
    startBehindForwarder,
    exampleWith,
    exampleWithoutKey,
    appendForeign,
    begin,
    complete,
    publish,
    stop,
  };
};

export default newSystem;
