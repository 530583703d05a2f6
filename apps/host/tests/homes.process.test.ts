import newPlatform, {
  CUSTOMER_KEY,
  newOperatorSettings,
} from '@cyclamengate/app-platform-standin/newPlatform';
import test from 'ava';
import type { ExecutionContext } from 'ava';
import { batchBody, readAllResults, submit, submitUntilKnown } from './batchHelpers.js';
import { newHosts, send, waitUntil } from './newHosts.js';
import type { TestHost } from './newHosts.js';

const REGIONS = { detroit: 'lakes', cleveland: 'ohio', nafplio: 'argolis' };
const DOMAINS = Object.keys(REGIONS);
const HOME_DOMAIN = 'nafplio';

/** Hosts are named by their place in the list of domains; they start in any order. */
const domainOf = ({ name }: TestHost): string | undefined =>
  DOMAINS[Number(name.replace('host-', '')) % DOMAINS.length];

/** Three regions with two hosts each; the customer's requests may run in one of them only. */
const newRegions = async (t: ExecutionContext) => {
  const platform = await newPlatform({ domains: DOMAINS, enginesPerDomain: 1 });
  platform.publish('config', {
    ...newOperatorSettings(2),
    tenants: [
      {
        name: 'museum',
        'api-keys': [CUSTOMER_KEY],
        'allowed-regions': [REGIONS[HOME_DOMAIN]],
      },
    ],
  });
  const system = await newHosts(platform, [...DOMAINS, ...DOMAINS], undefined, REGIONS);
  t.teardown(async () => {
    await system.close();
    await platform.close();
  });
  await waitUntil(() =>
    system.hosts.every(({ events }) =>
      events.some(({ event, version }) => event === 'settings.in-force' && version === 2),
    ),
  );
  const isAway = ({ domain }: { domain: string }): boolean => domain !== HOME_DOMAIN;
  const countRunsAway = (): number =>
    [...platform.engines, ...platform.plain]
      .filter(isAway)
      .reduce((sum, { runs }) => sum + runs.length, 0);
  const awayHosts = system.hosts.filter((host) => domainOf(host) !== HOME_DOMAIN);
  return { platform, system, awayHosts, countRunsAway };
};

const eventsOf = (hosts: TestHost[], name: string): Record<string, unknown>[] =>
  hosts.flatMap(({ events }) => events.filter(({ event }) => event === name));

test.serial("a customer's requests and items run in its homes, from hosts there", async (t) => {
  // Guards against requests that run, and batches that are kept, outside the customer's regions.
  const { system, awayHosts, countRunsAway } = await newRegions(t);
  for (const [index, host] of system.hosts.entries()) {
    t.is((await send(host, 'POST', '/lookup/7', { id: `h${index}`, body: 'x' })).status, 200);
  }
  const [first] = awayHosts as [TestHost];
  t.is((await submitUntilKnown(first, 'b1', batchBody('b1', 3, 4))).status, 202);
  const page = await readAllResults(first, 'b1');
  t.true(page.results.every(({ state }) => state === 'completed'));
  t.is(countRunsAway(), 0);
  t.deepEqual(eventsOf(awayHosts, 'item.started'), []);
});

test.serial('a batch that comes in an outage is begun by a host in its homes', async (t) => {
  // Guards against requests that are copied to hosts of other regions while the store is away.
  const { platform, system, awayHosts, countRunsAway } = await newRegions(t);
  const [first] = awayHosts as [TestHost];
  const hasEvent = (name: string, id: string): boolean =>
    eventsOf(system.hosts, name).some(({ batch }) => batch === id);
  const submitInOutage = async (id: string): Promise<void> => {
    platform.store.faults.mode = 'silent';
    await submit(first, id, batchBody(id, 2, 2));
    await waitUntil(() =>
      ['item.started', 'batch.begun-kept', 'batch.not-begun'].some((name) => hasEvent(name, id)),
    );
    platform.store.faults.mode = 'well';
  };
  let outages = 0;
  const currentId = (): string => `b2-${outages}`;
  // A host that is behind the others as an outage begins takes itself for cut off and runs nothing.
  while (!hasEvent('item.started', currentId())) {
    outages += 1;
    // Run in the homes, so the hosts know each other and the upstreams.
    await submitUntilKnown(first, `b1-${outages}`, batchBody(`b1-${outages}`, 1, 2));
    await readAllResults(first, `b1-${outages}`);
    await submitInOutage(currentId());
  }
  const body = batchBody(currentId(), 2, 2);
  t.is((await submitUntilKnown(first, currentId(), body)).status, 202);
  await readAllResults(first, currentId());
  t.is(countRunsAway(), 0);
  t.deepEqual(eventsOf(awayHosts, 'item.started'), []);
  const home = system.hosts.filter((host) => !awayHosts.includes(host)).map(({ name }) => name);
  const asked = eventsOf(system.hosts, 'peers.asked').filter(({ type }) => type === 'batch');
  t.true(asked.every(({ peers }) => (peers as string[]).every((name) => home.includes(name))));
});

test.serial('what no home can serve is refused at once', async (t) => {
  // Guards against requests that are held, or run elsewhere, while the only home takes none.
  const { platform, system } = await newRegions(t);
  platform.publish(`evacuate/${HOME_DOMAIN}`, {});
  await waitUntil(() => eventsOf(system.hosts, 'domain.evacuated').length === system.hosts.length);
  const [first] = system.hosts as [TestHost];
  const lookup = await send(first, 'POST', '/lookup/7', { id: 'q', body: 'x' });
  t.is(lookup.status, 503);
  t.true(Number(lookup.headers['retry-after']) > 0);
  t.is((await submit(first, 'b3', batchBody('b3', 1, 1))).status, 503);
});
