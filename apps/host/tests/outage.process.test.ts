import test from 'ava';
import { send, waitUntil } from './newHosts.js';
import { newSystem } from './testSystem.js';

const LOOKUPS = 9;

test.serial(
  'callers are served during a store outage, and billed exactly afterwards',
  async (t) => {
    // Guards against hosts that refuse callers, or forget what they ran, while the store is silent.
    const { platform, first, second, third, close } = await newSystem(1);
    t.teardown(close);
    await waitUntil(() => platform.reports.length > 0);
    const billed = (): number =>
      platform.reports.reduce(
        (sum, { counts }) => sum + ((counts as Record<string, number>).museum ?? 0),
        0,
      );
    platform.store.faults.mode = 'silent';
    for (let index = 0; index < LOOKUPS; index += 1) {
      const host = [first, second, third][index % 3] ?? first;
      const { status } = await send(host, 'POST', '/lookup/7', {
        id: `o${index}`,
        body: `${index}`,
      });
      t.is(status, 200);
    }
    await new Promise((resolve) => {
      setTimeout(resolve, 2_500);
    });
    platform.store.faults.mode = 'well';
    await waitUntil(() => billed() >= LOOKUPS);
    await new Promise((resolve) => {
      setTimeout(resolve, 1_500);
    });
    t.is(billed(), LOOKUPS);
    const windows = platform.reports.map(({ window }) => window);
    t.is(new Set(windows).size, windows.length);
  },
);
