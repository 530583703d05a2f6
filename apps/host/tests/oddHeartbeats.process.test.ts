import type { Platform } from '@cyclamengate/app-platform-standin/newPlatform';
import test from 'ava';
import { request } from 'undici';
import { batchBody, readAllResults, submit } from './batchHelpers.js';
import { send, sleep, waitUntil } from './newHosts.js';
import type { TestHost } from './newHosts.js';
import { newSystem } from './testSystem.js';

const TOPIC = 'coordination';
/** Hosts ask peers for settings once theirs are two seconds old, and a peer's call ends in two. */
const OUTAGE_MS = 6_000;
const LOOKUPS = 6;
const TEST_TIMEOUT_MS = 90_000;
const REPEAT_MS = 400;
/** More than any stack bears. */
const DEPTH = 50_000;
/** Members of the heartbeat with a wrong one in each place; less than the store's largest record. */
const WRONG_MEMBERS = 20_000;

const NESTED = '['.repeat(DEPTH) + ']'.repeat(DEPTH);

/** The text of a heartbeat; members of `odd` are JSON text, so that any number can be written. */
const heartbeatText = (host: string, odd: Record<string, string>): string => {
  const fields: Record<string, string> = {
    type: '"heartbeat"',
    host: JSON.stringify(host),
    incarnation: `"${host}-run"`,
    number: `${Date.now() % 1_000_000_000}`,
    failureDomain: '"detroit"',
    address: '"127.0.0.1:9"',
    cores: '1',
    isLeaving: 'false',
    running: '{}',
    usage: '{}',
    countedThrough: `${Math.floor(Date.now() / 1_000)}`,
    ...odd,
  };
  return `{${Object.entries(fields)
    .map(([name, value]) => `"${name}":${value}`)
    .join(',')}}`;
};

const wrongCounts = Array.from({ length: WRONG_MEMBERS }, (_, index) => `"e${index}":-1`).join(',');

/** Each states something that no host does. */
const oddTexts = (): string[] => [
  heartbeatText('odd-port', { address: '"127.0.0.1:99999"' }),
  heartbeatText('odd-address', { address: '"999.0.0.1:80"' }),
  heartbeatText('odd-text', { address: '"a b"' }),
  heartbeatText('odd-cores', { cores: '1e308' }),
  heartbeatText('odd-counts', { running: '{"engine-1":-9007199254740991}' }),
  heartbeatText('odd-usage', { usage: '{"9007199254740991":{"museum":1}}' }),
  heartbeatText('odd-depth', { usage: NESTED }),
  heartbeatText('odd-members', { running: `{${wrongCounts}}` }),
  heartbeatText('', {}),
  heartbeatText('x'.repeat(100_000), {}),
  '{"type":"usage-close","window":99999999998,"counts":{"museum":9}}',
  '{"type":"usage-reported","window":99999999998}',
  '{"type":"usage-close","window":9007199254740991,"counts":{"museum":9}}',
  '{"type":"usage-close","window":-4,"counts":{"museum":9}}',
  NESTED,
  'oops',
  'null',
];

/** Right in form: takes a lease, or passes unnoticed. */
const ODD_CLAIMS = ['usage', 'engines/detroit', 'engines/cleveland', 'none'].map((subject) =>
  JSON.stringify({
    type: 'lease',
    subject,
    host: 'odd',
    incarnation: 'odd-run',
    number: 1,
    previous: Number.MAX_SAFE_INTEGER,
    isReleased: false,
  }),
);

const putOdd = ({ memory }: Platform): void =>
  [...oddTexts(), ...ODD_CLAIMS].forEach((text) => memory.put(TOPIC, [Buffer.from(text)]));

const countRejected = async (host: TestHost): Promise<number> => {
  const text = await (await request(`http://${host.metrics}/metrics`)).body.text();
  return Number(/^values_unreadable_of_coordination (\d+)$/m.exec(text)?.[1]);
};

const billed = ({ reports }: Platform): number =>
  reports.reduce((sum, { counts }) => sum + ((counts as Record<string, number>).museum ?? 0), 0);

test.serial('odd records among the heartbeats end no host and lose no usage', async (t) => {
  // Guards against hosts that end in an outage or as they stop, since another writer's heartbeat states
  // an address that no call can use, and against leases and windows that such a writer takes.
  t.timeout(TEST_TIMEOUT_MS);
  const { platform, system, first, second, third, close } = await newSystem(1, 3, putOdd);
  const repeat = setInterval(() => putOdd(platform), REPEAT_MS);
  t.teardown(async () => {
    clearInterval(repeat);
    await close();
  });
  const areAlive = (hosts: TestHost[]): boolean =>
    hosts.every(({ child }) => child.exitCode === null && child.signalCode === null);
  await waitUntil(() => platform.reports.length > 0);
  t.true(areAlive(system.hosts), 'hosts that start and run');

  platform.store.faults.mode = 'silent';
  for (const [index, host] of [first, second, third, first, second, third].entries()) {
    const id = `o${index}`;
    t.is((await send(host, 'POST', '/lookup/7', { id, body: id })).status, 200);
  }
  const submitted = await submit(first, 'b1', batchBody('b1', 2, 2));
  t.is(submitted.status, 504, 'a batch in an outage may run');
  await sleep(OUTAGE_MS);
  platform.store.faults.mode = 'well';
  t.true(areAlive(system.hosts), 'hosts in an outage');
  await waitUntil(async () => (await submit(second, 'b1', batchBody('b1', 2, 2))).status === 202);
  const { results } = await readAllResults(second, 'b1');
  t.true(results.every(({ state }) => state === 'completed'));
  await waitUntil(() => billed(platform) >= LOOKUPS);

  await third.end('SIGTERM');
  t.is(third.child.exitCode, 0, 'a host that stops');
  const late = await system.start('host-late', 'detroit');
  await waitUntil(() => late.events.some(({ event }) => event === 'members.changed'));
  const texts = oddTexts().length;
  await waitUntil(async () => (await countRejected(late)) >= texts);
  t.true((await countRejected(first)) >= texts);
  const live = late.events.findLast(({ event }) => event === 'members.changed');
  t.false(String(live?.hosts).includes('odd'));
  const windows = platform.reports.map(({ window }) => window);
  t.true(windows.every((window) => window <= Date.now() / 1_000));
  t.is(new Set(windows).size, windows.length, 'reported once each');
  t.true(areAlive([first, second, late]));
});
