import newPlatform from '@cyclamengate/app-platform-standin/newPlatform';
import test from 'ava';
import type { ExecutionContext } from 'ava';
import { newHosts } from './newHosts.js';
import type { TestHost } from './newHosts.js';
import { reloadStarts, stopStarts } from './signalStarts.js';

const TEST_TIMEOUT_MS = 60_000;

const newStarter = async (t: ExecutionContext) => {
  t.timeout(TEST_TIMEOUT_MS);
  const platform = await newPlatform({ domains: ['detroit'], enginesPerDomain: 1 });
  const system = await newHosts(platform, []);
  t.teardown(async () => {
    await system.close();
    await platform.close();
  });
  return (name: string): Promise<TestHost> => system.start(name, 'detroit');
};

test.serial('a stop signal during the start ends a host at once, with success', async (t) => {
  // Guards against a signal that comes before its handler is set: the host ends as if it had failed, or
  // starts and serves until it is killed.
  await stopStarts(t, await newStarter(t));
});

test.serial('a host that is told of changed settings as it starts goes on', async (t) => {
  // Guards against a host that ends by SIGHUP, since that comes before its handler is set.
  await reloadStarts(t, await newStarter(t));
});
