import { newManualClock } from '@cyclamengate/fakes/newManualClock';
import test from 'ava';
import type { Heartbeat } from '../src/coordinationRecord.js';
import newMembers from '../src/newMembers.js';

const HEARTBEAT_LIFETIME_MS = 1_600;

const newHeartbeat = (host: string, changes: Partial<Heartbeat> = {}): Heartbeat => ({
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
  ...changes,
});

const newParts = () => {
  const clock = newManualClock();
  const members = newMembers(clock, 'a', () => HEARTBEAT_LIFETIME_MS);
  const beat = (...hosts: string[]): void => {
    hosts.forEach((host) => members.apply(newHeartbeat(host)));
    members.advanceView(clock.now());
  };
  const live = (): string =>
    members
      .live()
      .map(({ host }) => host)
      .join(' ');
  return { clock, members, beat, live };
};

test('a host whose heartbeats stop while others continue is not live after the heartbeat lifetime', async (t) => {
  // A host loses power. Its items are delayed until another host takes them over.
  const { clock, beat, live } = newParts();
  beat('a', 'b');
  for (let count = 0; count < 4; count += 1) {
    await clock.advance(500);
    beat('a');
  }
  t.is(live(), 'a');
});

test('no host expires while the view does not advance', async (t) => {
  // The store becomes unresponsive 0.4 s after the newest heartbeats, and the view still counts as
  // fresh for some hundred milliseconds. If hosts expired by the clock, unfinished items would
  // be dropped.
  const { clock, members, beat, live } = newParts();
  beat('a', 'b');
  await clock.advance(400);
  members.advanceView(clock.now());
  await clock.advance(1_500);
  t.is(live(), 'a b');
});

test('after a store outage every host has a full heartbeat lifetime to write again', async (t) => {
  // No host could write for six seconds, and the first page read afterwards has no heartbeats yet.
  // If that expired the hosts, every batch would briefly move to another host.
  const { clock, members, beat, live } = newParts();
  beat('a', 'b');
  await clock.advance(6_000);
  members.advanceView(clock.now());
  t.is(live(), 'a b');
  await clock.advance(900);
  beat('a');
  t.is(live(), 'a b');
  await clock.advance(900);
  beat('a');
  t.is(live(), 'a');
});

test('a host that announced that it is leaving is not live', async (t) => {
  const { members, beat, live } = newParts();
  beat('a', 'b');
  members.apply(newHeartbeat('b', { isLeaving: true }));
  t.is(live(), 'a');
});

test('the load of other hosts expires while the view does not advance', async (t) => {
  // All engines are full when the heartbeat topic becomes unresponsive, while batches continue. If
  // the old load counted until heartbeats resumed, the engines would stay idle for three seconds.
  const { clock, members } = newParts();
  members.apply(newHeartbeat('a', { running: { engine: 5 } }));
  members.apply(newHeartbeat('b', { running: { engine: 7 } }));
  members.advanceView(clock.now());
  t.deepEqual([...members.runningElsewhere()], [['engine', 7]]);
  await clock.advance(1_700);
  t.deepEqual([...members.runningElsewhere()], []);
});

test('the same list of live hosts is returned while no host joins or leaves', async (t) => {
  const { clock, members, beat, live } = newParts();
  beat('a', 'b');
  const before = members.live();
  await clock.advance(500);
  beat('a', 'b');
  t.is(members.live(), before);
  beat('c');
  t.is(live(), 'a b c');
  members.apply(newHeartbeat('b', { incarnation: 'b-second-run' }));
  t.deepEqual(
    members.live().map(({ incarnation }) => incarnation),
    ['a-run', 'b-second-run', 'c-run'],
    'a restarted host has a new incarnation',
  );
  for (let count = 0; count < 4; count += 1) {
    await clock.advance(500);
    beat('b', 'c');
  }
  t.is(live(), 'b c', 'a host without heartbeats is not live');
});

test('hosts agree on the pace of an upstream by the median of live heartbeats', (t) => {
  // One host measures nonsense, another does not send paces yet. Engines would be assigned to models
  // by these figures, differently on each host.
  const { members } = newParts();
  const share = (host: string, paces?: Record<string, number>): boolean =>
    members.apply(newHeartbeat(host, { paces }));
  share('a', { fast: 0.5, slow: 2, odd: 0 });
  share('b', { fast: 0.4, slow: 2.4, odd: -3 });
  share('c', { fast: 99, slow: 2.2, odd: 1e9 });
  share('d');
  t.deepEqual([...members.paces()], Object.entries({ fast: 0.5, slow: 2.2 }));
});

test('the pace that a host shared expires with the host, and at once when it leaves', async (t) => {
  // A host measured an engine as slow and died. Guards against an engine that is shunned for ever.
  const { clock, members, beat } = newParts();
  members.apply(newHeartbeat('b', { paces: { slow: 2 } }));
  beat('a');
  t.is(members.paces().get('slow'), 2);
  await clock.advance(1_000);
  beat('a');
  t.is(members.paces().get('slow'), 2);
  await clock.advance(700);
  beat('a');
  t.deepEqual([...members.paces()], []);
  members.apply(newHeartbeat('c', { paces: { slow: 3 } }));
  t.is(members.paces().get('slow'), 3);
  members.apply(newHeartbeat('c', { paces: { slow: 3 }, isLeaving: true }));
  t.deepEqual([...members.paces()], []);
});

test('shared paces change with the next heartbeat and stay while the view does not advance', async (t) => {
  // The store is unavailable for six seconds. Guards against engines that change their models then.
  const { clock, members, beat } = newParts();
  members.apply(newHeartbeat('b', { paces: { slow: 2 } }));
  beat('a');
  await clock.advance(6_000);
  t.is(members.paces().get('slow'), 2);
  members.apply(newHeartbeat('b'));
  t.deepEqual([...members.paces()], []);
});

test('only three hosts share the pace of one upstream', (t) => {
  // Ninety hosts that share twenty-five fast engines would triple what every host has to read.
  const clock = newManualClock();
  const measured = { fast: 0.5 };
  const hosts = Array.from({ length: 90 }, (_, index) => `host-${String(index).padStart(2, '0')}`);
  const all = hosts.map((host) => newMembers(clock, host, () => HEARTBEAT_LIFETIME_MS));
  for (let round = 0; round < 3; round += 1) {
    all.forEach((own, index) => {
      const paces = own.selectPacesToShare(measured);
      const heartbeat = newHeartbeat(hosts[index] ?? '', { paces });
      all.forEach((members) => members.apply(heartbeat));
    });
  }
  const isSharing = all.map((own) => Object.keys(own.selectPacesToShare(measured)).length > 0);
  t.is(isSharing.filter(Boolean).length, 3);
  t.true(all.every((members) => members.paces().get('fast') === 0.5));
  // The first host leaves; the next in the order takes over.
  all.forEach((members) => members.apply(newHeartbeat('host-00', { isLeaving: true })));
  t.deepEqual(all[3]?.selectPacesToShare(measured), measured);
});

test('demand of other hosts counts until the clock passes its lifetime, also in an outage', (t) => {
  // Guards against places that a host which is cut off leaves to hosts that it hears nothing of.
  const { clock, members } = newParts();
  members.apply(newHeartbeat('a', { demand: { portal: 9 } }));
  members.apply(newHeartbeat('b', { demand: { portal: 4 } }));
  members.apply(newHeartbeat('older'));
  t.deepEqual(members.demandElsewhere(), [{ portal: 4 }, {}]);
  members.apply(newHeartbeat('b', { demand: { portal: 2 } }));
  t.deepEqual(members.demandElsewhere(), [{ portal: 2 }, {}]);
  clock.jump(HEARTBEAT_LIFETIME_MS);
  t.deepEqual(members.demandElsewhere(), []);
});
