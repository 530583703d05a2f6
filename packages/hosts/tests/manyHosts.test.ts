import { newManualClock } from '@cyclamengate/fakes/newManualClock';
import test from 'ava';
import type { Heartbeat } from '../src/coordinationRecord.js';
import newHeartbeatOrder from '../src/newHeartbeatOrder.js';
import newHostRanking from '../src/newHostRanking.js';
import newLeases from '../src/newLeases.js';
import newMembers from '../src/newMembers.js';

const MANY = 20_000;
const MAX_HOSTS = 512;
const LIFETIME_MS = 2_000;
const RETENTION_MS = 20_000;

const heartbeat = (host: string): Heartbeat => ({
  type: 'heartbeat',
  host,
  incarnation: `${host}-run`,
  number: 0,
  failureDomain: 'detroit',
  address: '10.0.0.1:7780',
  cores: 1,
  isLeaving: false,
  running: {},
  usage: {},
  countedThrough: 0,
});

const names = Array.from({ length: MANY }, (_, index) => `odd-${index}`);

test('hosts that do not exist have a bound, and leave the places of those that do', async (t) => {
  // Guards against hosts that run out of memory, or ask only hosts that do not exist, by heartbeats of
  // another writer with ever new names.
  const clock = newManualClock();
  const members = newMembers(clock, 'a', () => LIFETIME_MS);
  ['a', 'b'].forEach((host) => members.apply(heartbeat(host)));
  const placed = names.filter((host) => members.apply(heartbeat(host)));
  t.true(placed.length <= MAX_HOSTS);
  ['a', 'b'].forEach((host) => t.true(members.apply(heartbeat(host))));
  const live = members.live().map(({ host }) => host);
  t.true(live.length <= MAX_HOSTS);
  t.true(['a', 'b'].every((host) => live.includes(host)));
  await clock.advance(RETENTION_MS);
  t.true(members.apply(heartbeat('c')), 'a host that starts later');
  t.deepEqual(
    members.recentMembers().map(({ host }) => host),
    ['c'],
  );
});

test('the order of heartbeats is kept for hosts that beat, whatever other names come', (t) => {
  // Guards against a late heartbeat that counts after a flood, and against names that are kept for good.
  const { recordIfNewer, size } = newHeartbeatOrder(newManualClock());
  const beat = (host: string, number: number): boolean =>
    recordIfNewer({ host, incarnation: `${host}-run`, number });
  names.forEach((host, index) => {
    t.true(beat('a', index + 1));
    beat(host, 1);
  });
  t.false(beat('a', MANY));
  t.true(size() <= 2 * MAX_HOSTS);
});

test('incarnations of one name have a bound', (t) => {
  // Guards against a host that each heartbeat of another writer lets grow and copy a list.
  const { recordIfNewer } = newHeartbeatOrder(newManualClock());
  const beat = (incarnation: string): boolean =>
    recordIfNewer({ host: 'a', incarnation, number: 1 });
  names.forEach((incarnation) => t.true(beat(incarnation)));
  t.false(beat(names.at(-2) ?? ''), 'one of the last');
  t.true(beat(names[0] ?? ''), 'forgotten');
});

test('weights of hosts that are gone are discarded', (t) => {
  // Guards against a table that each new name lets grow.
  let computed = 0;
  const rank = newHostRanking((subject, host) => {
    computed += 1;
    return `${subject}${host}`;
  });
  const rankAll = (hosts: string[]) =>
    rank(
      'usage',
      hosts.map((host) => ({ host, cores: 1 })),
    );
  rankAll(['first']);
  names.forEach((host) => rankAll([host]));
  const before = computed;
  rankAll(['first']);
  t.is(computed, before + 1);
});

test('claims for a lease that no host follows are not kept', (t) => {
  // Guards against a host that runs out of memory by claims of another writer for ever new leases.
  const leases = newLeases(newManualClock(), LIFETIME_MS, (subject) => subject === 'usage');
  const claim = (subject: string, offset: number): boolean =>
    leases.apply(
      {
        type: 'lease',
        subject,
        host: 'odd',
        incarnation: 'odd-run',
        number: 1,
        previous: -1,
        isReleased: false,
      },
      offset,
    );
  names.forEach((subject, offset) => t.false(claim(subject, offset)));
  t.is(leases.holder('odd-1'), null);
  t.true(claim('usage', MANY));
});
