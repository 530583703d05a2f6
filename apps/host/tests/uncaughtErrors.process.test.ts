import type { Platform } from '@cyclamengate/app-platform-standin/newPlatform';
import test from 'ava';
import type { ExecutionContext } from 'ava';
import { request } from 'undici';
import { batchBody, expectedTextOf, readAllResults, submitUntilKnown } from './batchHelpers.js';
import { isReady, send, waitUntil } from './newHosts.js';
import type { TestHost } from './newHosts.js';
import { findRunner, newSystem } from './testSystem.js';

const BRING_ERRORS = ['--import', new URL('./bringErrors.js', import.meta.url).href];
const TEST_TIMEOUT_MS = 40_000;
const LOOKUP_MS = 900;
const OPEN_REQUESTS = 8;
const SHUTDOWN_MS = 8_000;
/** Time for a signal to arrive and an ended process to be noticed. */
const SETTLE_MS = 500;
const IS_RUNNING = null;

const newFaultySystem = async (t: ExecutionContext) => {
  t.timeout(TEST_TIMEOUT_MS);
  const { platform, system, close } = await newSystem(2, 3, undefined, BRING_ERRORS);
  t.teardown(close);
  platform.plain.forEach(({ faults }) => {
    faults.responseDelayMs = LOOKUP_MS;
  });
  return { platform, ...system };
};

const openLookups = (host: TestHost): Promise<number[]> =>
  Promise.all(
    Array.from({ length: OPEN_REQUESTS }, async (_, index) => {
      const answer = await send(host, 'POST', '/lookup/7', { id: `l${index}`, body: 'x' });
      return answer.body === 'x' ? answer.status : 0;
    }),
  );

const areRunning = ({ plain }: Platform): boolean =>
  plain.flatMap(({ runs }) => runs).filter(({ requestId }) => /^l\d$/.test(requestId)).length ===
  OPEN_REQUESTS;

const findErrors = ({ events }: TestHost) =>
  events.filter(({ event }) => event === 'process.error');

const readMetrics = async ({ metrics }: TestHost): Promise<string> =>
  (await request(`http://${metrics}/metrics`)).body.text();

const SINGLE_ERRORS = [
  ['a rejected promise of a call', 'SIGUSR2', 'call'],
  ['an exception in an event of one connection', 'SIGWINCH', 'connection'],
] as const;

SINGLE_ERRORS.forEach(([kind, signal, origin]) => {
  test.serial(`a host goes on after ${kind}`, async (t) => {
    // Guards against a host that ends with the open requests of all callers, and without a line in its
    // log, when one call or connection fails in a way that no code expects.
    const { platform, hosts } = await newFaultySystem(t);
    const [first] = hosts as [TestHost];
    const lookups = openLookups(first);
    await waitUntil(() => areRunning(platform));
    first.child.kill(signal);
    t.true((await lookups).every((status) => status === 200));
    await waitUntil(() => findErrors(first).length > 0);
    const [line] = findErrors(first);
    t.like(line, { origin, reaction: 'continue', error: 'Error: brought from outside' });
    t.regex(String(line?.stack), /bringErrors/);
    t.regex(await readMetrics(first), new RegExp(`^errors_uncaught_of_${origin} 1$`, 'm'));
    t.true(await isReady(first));
    t.is(first.child.exitCode, IS_RUNNING);
  });
});

const DOUBTFUL_ERRORS = [
  ['the error of a long-running task', 'SIGPROF', 'task'],
  ['an exception in a timer', 'SIGIO', 'unknown'],
] as const;

DOUBTFUL_ERRORS.forEach(([kind, signal, origin]) => {
  test.serial(`${kind} ends a host only once its open requests are finished`, async (t) => {
    // Guards against a host that cuts off open requests of others when one of its tasks fails, or that
    // goes on with a task that runs no more, so that its batches stand still.
    const { platform, hosts } = await newFaultySystem(t);
    platform.engines.forEach(({ faults }) => {
      faults.slowdownFactor = 5;
    });
    t.is((await submitUntilKnown(hosts[0] as TestHost, 'b1', batchBody('b1', 2, 4))).status, 202);
    await waitUntil(() => platform.engines.some(({ runs }) => runs.length > 0));
    const runner = await findRunner(hosts);
    const survivor = hosts.find((host) => host !== runner) as TestHost;
    const lookups = openLookups(runner);
    await waitUntil(() => areRunning(platform));
    const failedAt = performance.now();
    runner.child.kill(signal);
    await waitUntil(async () => !(await isReady(runner)));
    t.is(runner.child.exitCode, IS_RUNNING);
    t.true((await lookups).every((status) => status === 200));
    await waitUntil(() => runner.child.exitCode !== null);
    t.true(performance.now() - failedAt < SHUTDOWN_MS);
    t.is(runner.child.exitCode, 1);
    const [line, ...others] = findErrors(runner);
    t.like(line, { origin, reaction: 'drain', error: 'Error: brought from outside' });
    t.deepEqual(others, []);
    platform.engines.forEach(({ faults }) => {
      faults.slowdownFactor = 1;
    });
    const page = await readAllResults(survivor, 'b1');
    t.is(page.results.length, 8);
    t.true(page.results.every(({ id, text }) => text === expectedTextOf(id)));
  });
});

test.serial('a second failure of unknown origin ends a host that drains', async (t) => {
  // Guards against a host that serves on for the whole shutdown time while more and more of it fails.
  const { hosts } = await newFaultySystem(t);
  const [first] = hosts as [TestHost];
  first.child.kill('SIGIO');
  await waitUntil(() => findErrors(first).length > 0);
  const failedAt = performance.now();
  first.child.kill('SIGIO');
  await waitUntil(() => first.child.exitCode !== null);
  t.true(performance.now() - failedAt < SETTLE_MS + 2_000);
  t.is(first.child.exitCode, 1);
  t.like(findErrors(first).at(-1), { origin: 'unknown', reaction: 'exit' });
});

test.serial('a planned stop that meets an error still finishes open requests', async (t) => {
  // Guards against callers that lose their requests since an error and a stop come together, and against
  // a stop that is reported as a success although the host had failed.
  const { platform, hosts } = await newFaultySystem(t);
  const [first] = hosts as [TestHost];
  const lookups = openLookups(first);
  await waitUntil(() => areRunning(platform));
  first.child.kill('SIGTERM');
  await waitUntil(async () => !(await isReady(first)));
  first.child.kill('SIGIO');
  t.true((await lookups).every((status) => status === 200));
  await waitUntil(() => first.child.exitCode !== null);
  t.is(first.child.exitCode, 1);
});
