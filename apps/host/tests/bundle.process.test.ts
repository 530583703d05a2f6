import { execFile } from 'node:child_process';
import { fileURLToPath } from 'node:url';
import { promisify } from 'node:util';
import newPlatform from '@cyclamengate/app-platform-standin/newPlatform';
import test from 'ava';
import { batchBody, expectedTextOf, readAllResults, submit } from './batchHelpers.js';
import { newHosts, send } from './newHosts.js';

const ROOT = fileURLToPath(new URL('../../../../', import.meta.url));
const BUNDLE = `${ROOT}target/cyclamengate-host.mjs`;

const run = promisify(execFile);

test.serial(
  'the bundled program serves requests, runs batches and calls other hosts',
  async (t) => {
    // Guards against a part of a library that the bundle leaves out although a host calls it.
    await run(process.execPath, ['scripts/bundle.js'], { cwd: ROOT });
    const platform = await newPlatform({ domains: ['detroit', 'cleveland'], enginesPerDomain: 1 });
    const system = await newHosts(platform, ['detroit', 'cleveland', 'detroit'], BUNDLE);
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
