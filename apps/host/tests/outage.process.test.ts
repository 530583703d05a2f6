import test from 'ava';
import type { ExecutionContext } from 'ava';
import { send, sleep, waitUntil } from './newHosts.js';
import { newSystem } from './testSystem.js';

const LOOKUPS = 9;
/** Several usage windows of the test hosts, which are a second long. */
const OUTAGE_MS = 6_000;
/** Time after the outage within which its usage must be reported. */
const REPORT_MS = 10_000;

/** Sends lookups to all hosts while the store is silent; @returns their statuses. */
const lookUpInOutage = async (t: ExecutionContext) => {
  const { platform, first, second, third, close } = await newSystem(1);
  t.teardown(close);
  await waitUntil(() => platform.reports.length > 0);
  platform.store.faults.mode = 'silent';
  const statuses: number[] = [];
  for (let index = 0; index < LOOKUPS; index += 1) {
    const host = [first, second, third][index % 3] ?? first;
    const { status } = await send(host, 'POST', '/lookup/7', { id: `o${index}`, body: `${index}` });
    statuses.push(status);
  }
  await sleep(OUTAGE_MS);
  platform.store.faults.mode = 'well';
  return { platform, statuses };
};

test.serial('callers are served while the store does not answer', async (t) => {
  // Guards against hosts that refuse callers because they cannot read the settings again.
  const { statuses } = await lookUpInOutage(t);
  t.deepEqual(statuses, Array(LOOKUPS).fill(200));
});

test.serial('what callers used during a store outage is billed exactly afterwards', async (t) => {
  // Guards against windows of an outage that nobody reports, or that are reported twice.
  const { platform } = await lookUpInOutage(t);
  const billed = (): number =>
    platform.reports.reduce(
      (sum, { counts }) => sum + ((counts as Record<string, number>).museum ?? 0),
      0,
    );
  const deadline = Date.now() + REPORT_MS;
  await waitUntil(() => billed() >= LOOKUPS || Date.now() > deadline);
  await sleep(1_500);
  t.is(billed(), LOOKUPS);
  const windows = platform.reports.map(({ window }) => window);
  t.is(new Set(windows).size, windows.length);
});
