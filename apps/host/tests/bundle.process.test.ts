import { execFile } from 'node:child_process';
import { copyFile, mkdtemp, readFile, rm, truncate } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { promisify } from 'node:util';
import newPlatform from '@cyclamengate/app-platform-standin/newPlatform';
import test from 'ava';
import { batchBody, expectedTextOf, readAllResults, submit } from './batchHelpers.js';
import { newHosts, send } from './newHosts.js';
import { stopStarts } from './signalStarts.js';

const ROOT = fileURLToPath(new URL('../../../../', import.meta.url));
const BUNDLE = `${ROOT}target/cyclamengate-host.cjs`;

const run = promisify(execFile);

/** The flags of Node.js with which the platform runs the program. */
const readNodeFlags = async (): Promise<string[]> => {
  const system = await readFile(`${ROOT}deploy/system.toml`, 'utf8');
  const flags = /^run = "node (.+) target\/cyclamengate-host.cjs /m.exec(system)?.[1] ?? '';
  return flags.split(' ');
};

test.before(async () => {
  await run(process.execPath, ['scripts/bundle.js'], { cwd: ROOT });
});

test.serial(
  'the bundled program serves requests, runs batches and calls other hosts',
  async (t) => {
    // Guards against a part of a library that the bundle leaves out although a host calls it.
    const platform = await newPlatform({ domains: ['detroit', 'cleveland'], enginesPerDomain: 1 });
    const domains = ['detroit', 'cleveland', 'detroit'];
    const system = await newHosts(platform, domains, BUNDLE, {}, await readNodeFlags());
    t.teardown(async () => {
      await system.close();
      await platform.close();
    });
    const [first, second, third] = system.hosts;
    if (!first || !second || !third) throw new Error('three hosts are needed');
    const answer = await send(first, 'POST', '/lookup/7', { body: 'hello' });
    t.is(answer.body, 'hello');
    t.is((await submit(second, 'b1', batchBody('b1', 1, 2))).status, 202);
    // A host that stops hands its batches over to another one, which is a call between hosts.
    await second.end('SIGTERM');
    const page = await readAllResults(third, 'b1');
    page.results.forEach(({ id, text }) => t.is(text, expectedTextOf(id)));
    t.is(page.results.length, 2);
  },
);

test.serial(
  'a stop signal during the start of the bundled program ends it with success',
  async (t) => {
    // Guards against a stop signal that comes while the bundle is read, before the program can handle it.
    t.timeout(60_000);
    const platform = await newPlatform({ domains: ['detroit'], enginesPerDomain: 1 });
    const system = await newHosts(platform, [], BUNDLE, {}, await readNodeFlags());
    t.teardown(async () => {
      await system.close();
      await platform.close();
    });
    await stopStarts(t, (name) => system.start(name, 'detroit'));
  },
);

test('the code cache is used under the flags of the platform', async (t) => {
  // Guards against flags that differ between the build and the platform, so that each start compiles.
  const { stdout } = await run(process.execPath, [...(await readNodeFlags()), BUNDLE, '--help']);
  t.regex(stdout, /^Usage:/);
});

test('a host starts without a code cache, with a part of one, and under other flags', async (t) => {
  // Guards against a build that was stopped halfway, after which no host would start.
  const folder = await mkdtemp(join(tmpdir(), 'cyclamengate-bundle-'));
  t.teardown(() => rm(folder, { recursive: true }));
  await Promise.all(
    ['cyclamengate-host.cjs', 'host.cjs', 'host.cache'].map((name) =>
      copyFile(`${ROOT}target/${name}`, join(folder, name)),
    ),
  );
  const flags = await readNodeFlags();
  const runCopy = async (nodeFlags: string[]): Promise<void> => {
    const program = join(folder, 'cyclamengate-host.cjs');
    const { stdout } = await run(process.execPath, [...nodeFlags, program, '--help']);
    t.regex(stdout, /"process\.uncached"/);
    t.regex(stdout, /^Usage:/m);
  };
  await runCopy([]);
  await truncate(join(folder, 'host.cache'), 100_000);
  await runCopy(flags);
  await rm(join(folder, 'host.cache'));
  await runCopy(flags);
});
