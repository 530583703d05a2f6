import newPlatform from '@cyclamengate/app-platform-standin/newPlatform';
import type { Platform } from '@cyclamengate/app-platform-standin/newPlatform';
import newSeededRandom from '@cyclamengate/fakes/newSeededRandom';
import test from 'ava';
import { newHosts, sleep, waitUntil } from './newHosts.js';
import type { TestHost } from './newHosts.js';
import newStopClients, { newPatientSettings } from './newStopClients.js';
import type { Attempt } from './newStopClients.js';

/** Comma-separated seeds of a longer run. */
const SEEDS_VARIABLE = 'PLANNED_STOP_SEEDS';
const DEFAULT_SEEDS = '4';
const DOMAINS = ['detroit', 'cleveland'];
const GRACE_MS = 8_000;
/** Requests of the grace's first part may still be at their upstream in its last sixth. */
const LATEST_LONG_MS = 3_000;
const LAST_PART_MS = (GRACE_MS * 5) / 6;
/** A request that crosses the close of its connection was not taken. */
const CROSSING_MS = 200;
const TEST_TIMEOUT_MS = 60_000;
const BEFORE_STOP_MS = 1_500;
const MAX_SLOWDOWN = 60;
const SECOND_SIGNAL_PART = 0.5;
const SILENT_STORE_PART = 0.3;
const NOT_RUN_STATUSES = new Set([408, 421, 429, 503]);

interface Stop {
  host: TestHost;
  at: number;
  tookMs: number;
  attempts: Attempt[];
}

const countRuns = ({ plain, engines }: Platform, id: string): number =>
  [...plain, ...engines].flatMap(({ runs }) => runs).filter(({ requestId }) => requestId === id)
    .length;

/** What a caller may not see; null if all is well. */
const findFault = (attempt: Attempt, runs: number, stoppedAt: number): string | null => {
  const { status, sentAt, endedAt, mayRepeat } = attempt;
  if (!mayRepeat && runs > 1) return 'ran twice';
  if (status !== null && NOT_RUN_STATUSES.has(status) && runs > 0 && !mayRepeat) {
    return 'refused as not run';
  }
  if (status !== null || sentAt === null) return null;
  const isLong = sentAt <= stoppedAt + LATEST_LONG_MS && endedAt >= stoppedAt + LAST_PART_MS;
  if (runs > 0 && !isLong) return 'cut after it ran';
  return runs === 0 && endedAt > sentAt + CROSSING_MS ? 'cut before it ran' : null;
};

const listFaults = (platform: Platform, { attempts, at }: Stop): string[] =>
  attempts.flatMap((attempt) => {
    const fault = findFault(attempt, countRuns(platform, attempt.id), at);
    if (fault === null) return [];
    const { id, what, status, sentAt, endedAt } = attempt;
    const toText = (time: number | null) => (time === null ? 'never' : Math.round(time - at));
    return [
      `${id}: ${fault}; ${what}; status ${status}; sent ${toText(sentAt)}, ended ${toText(endedAt)}`,
    ];
  });

const countByStatus = ({ attempts, at }: Stop): Map<number | null, number> => {
  const counts = new Map<number | null, number>();
  attempts
    .filter(({ endedAt }) => endedAt > at)
    .forEach(({ status }) => counts.set(status, (counts.get(status) ?? 0) + 1));
  return counts;
};

/** Stops a host beside its clients, as the platform does. */
const stopBusy = async (host: TestHost, random: () => number): Promise<Stop> => {
  const { child } = host;
  const clients = newStopClients(host, random);
  const done = clients.run();
  await sleep(BEFORE_STOP_MS);
  const at = performance.now();
  const killer = setTimeout(() => child.kill('SIGKILL'), GRACE_MS);
  const ended = host.end('SIGTERM');
  if (random() < SECOND_SIGNAL_PART) {
    await sleep(random() * (GRACE_MS / 2));
    child.kill('SIGTERM');
  }
  await ended;
  clearTimeout(killer);
  const tookMs = performance.now() - at;
  await done;
  return { host, at, tookMs, attempts: clients.attempts };
};

const seeds = (process.env[SEEDS_VARIABLE] ?? DEFAULT_SEEDS).split(',').map(Number);

seeds.forEach((seed) => {
  test.serial(`planned stops cut off no request that was taken (seed ${seed})`, async (t) => {
    // Guards against requests that a stopping host takes and can't finish, or that still wait as its
    // process ends: callers lose them, also those that may not be repeated.
    t.timeout(TEST_TIMEOUT_MS);
    const random = newSeededRandom(seed);
    const platform = await newPlatform({ domains: DOMAINS, enginesPerDomain: 2 });
    const system = await newHosts(platform, [...DOMAINS, 'detroit']);
    t.teardown(async () => {
      await system.close();
      await platform.close();
    });
    platform.publish('config', newPatientSettings());
    platform.engines.forEach(({ faults }) => {
      faults.slowdownFactor = 1 + Math.floor(random() * MAX_SLOWDOWN);
    });
    const [first, second] = system.hosts as [TestHost, TestHost];
    await waitUntil(() =>
      [first, second].every(({ events }) =>
        events.some(({ event, version }) => event === 'settings.in-force' && version === 2),
      ),
    );
    const isStoreSilent = random() < SILENT_STORE_PART;
    const startSecond = async (): Promise<Stop> => {
      await sleep(BEFORE_STOP_MS + random() * GRACE_MS);
      if (isStoreSilent) platform.store.faults.mode = 'silent';
      return stopBusy(second, random);
    };
    const stops = await Promise.all([stopBusy(first, random), startSecond()]);
    stops.forEach((stop) => {
      const { host, tookMs } = stop;
      const statuses = [...countByStatus(stop)].map(([status, count]) => `${count} of ${status}`);
      t.log(`${host.name}: ${Math.round(tookMs)} ms, answers since then: ${statuses.join(', ')}`);
      t.is(host.child.exitCode, 0, 'ended by itself');
      t.deepEqual(listFaults(platform, stop), []);
    });
    t.log(isStoreSilent ? 'store silent before the second stop' : 'store well');
    const [counts] = stops.map(countByStatus);
    t.true((counts?.get(200) ?? 0) > 0);
    t.true((counts?.get(503) ?? 0) > 0);
  });
});
