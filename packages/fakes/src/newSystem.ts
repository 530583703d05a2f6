import { readFile, writeFile } from 'node:fs/promises';
import { join } from 'node:path';
import newPlatformStandin from '@cyclamengate/app-standin/newPlatformStandin';
import type { PlatformStandinOptions } from '@cyclamengate/app-standin/newPlatformStandin';
import digest from '@cyclamengate/common/digest';
import { request } from 'undici';
import { isStreamComplete, demoKeyOf, post } from './callers.js';
import newForwarder from './newForwarder.js';
import type { Forwarder } from './newForwarder.js';
import newProcesses, { ROOT, waitUntil } from './newProcesses.js';
import type { DaemonOptions, StartedDaemon } from './newProcesses.js';

const DOMAINS = ['nafplio-a', 'nafplio-b', 'argos-c'];
const EXAMPLE_PATH = join(ROOT, 'examples/papadakis.yaml');

/** Runs the example deployment as real processes, with a platform stand-in in the test's process. */
const newSystem = async (
  entries: number,
  standinOptions: Partial<PlatformStandinOptions> = {},
  daemonOptions: DaemonOptions = {},
) => {
  const processes = await newProcesses();
  const platform = await newPlatformStandin({ port: 0, ...standinOptions });
  const forwarders: Forwarder[] = [];
  const daemons: Awaited<ReturnType<typeof processes.startDaemon>>[] = [];

  const startDaemon = async (
    app: string,
    id: string,
    domainIndex: number,
    options: DaemonOptions = {},
  ) => {
    const started = await processes.startDaemon(
      app,
      id,
      DOMAINS[domainIndex % 3] as string,
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
    await startDaemon('entry', `entry-${index + 1}`, index);
  }
  const control = await startDaemon('control', 'control-1', 0);
  const first = daemons[0]!;

  /** Starts a daemon whose connections to the platform pass through a forwarder. */
  const startBehindForwarder = async (
    app: string,
    id: string,
    domainIndex: number,
    options: DaemonOptions = {},
  ) => {
    const forwarder = await newForwarder(platform.url);
    forwarders.push(forwarder);
    const services = ['log', 'orders', 'reports', 'hosts'];
    const throughForwarder = Object.fromEntries(
      services.map((service) => [service, forwarder.url]),
    );
    const daemon = await startDaemon(app, id, domainIndex, {
      ...options,
      platform: throughForwarder,
    });
    return { forwarder, daemon };
  };

  const readExample = (): Promise<string> => readFile(EXAMPLE_PATH, 'utf8');

  /** Returns the example settings with every occurrence of a text replaced. */
  const replaceInExample = async (text: string, replacement: string): Promise<string> => {
    const example = await readExample();
    if (!example.includes(text)) throw new Error(`the example settings do not contain ${text}`);
    return example.replaceAll(text, replacement);
  };

  /** Returns the example settings with a customer's key withdrawn. */
  const withdrawKeyInExample = async (customer: string): Promise<string> => {
    const line = `digest: ${digest(demoKeyOf(customer))}`;
    return (await readExample()).replace(line, `${line}\n        withdrawn: true`);
  };

  /** Appends records of an unrelated writer, so that the log's retention drops older records. */
  const appendForeignRecords = async (count: number): Promise<void> => {
    const bodies = Array.from({ length: count }, () => '{"foreign":true}');
    const response = await request(`${platform.url}/log/append`, {
      method: 'POST',
      body: JSON.stringify({ bodies }),
    });
    await response.body.dump();
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
      EXAMPLE_PATH,
      '--operator',
      'platform-admin',
      '--log',
      platform.url,
      '--peer',
      first.peerUrl,
      '--wait',
      '30',
    ]);

  const requestCompletion = (
    entry: StartedDaemon,
    customer: string,
    fields: Record<string, unknown> = {},
    headers: Record<string, string> = {},
  ) =>
    post(
      `${entry.url}/v1/completions`,
      customer,
      { model: 'tone-assistant', prompt: 'low D rings', max_tokens: 8, stream: true, ...fields },
      headers,
    );

  /** Publishes the example settings and waits until every entry serves requests. */
  const publishExampleAndWait = async (): Promise<void> => {
    const published = await publishExample();
    if (published.status !== 0) throw new Error(published.text);
    const entryDaemons = daemons.filter(({ id }) => id.startsWith('entry'));
    await Promise.all(
      entryDaemons.map((entry) =>
        waitUntil(`${entry.id} serves`, async () =>
          isStreamComplete(await requestCompletion(entry, 'players')),
        ),
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
    startDaemon,
    startBehindForwarder,
    replaceInExample,
    withdrawKeyInExample,
    appendForeignRecords,
    publishExampleAndWait,
    requestCompletion,
    publish,
    stop,
  };
};

export default newSystem;
