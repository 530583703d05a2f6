import { newManualClock } from '@cyclamengate/fakes/newManualClock';
import test from 'ava';
import type { Heartbeat } from '../src/coordinationRecord.js';
import newMembers from '../src/newMembers.js';

const LIFE_MS = 1_600;

const heartbeatOf = (host: string, changes: Partial<Heartbeat> = {}): Heartbeat => ({
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
  const members = newMembers(clock, 'a', () => LIFE_MS);
  const beat = (...hosts: string[]): void => {
    hosts.forEach((host) => members.apply(heartbeatOf(host)));
    members.noteView(clock.now());
  };
  const live = (): string =>
    members
      .live()
      .map(({ host }) => host)
      .join(' ');
  return { clock, members, beat, live };
};

test('a host whose heartbeats stop while others go on is gone after a life', async (t) => {
  // A host loses power. Its items wait until another one takes them over.
  const { clock, beat, live } = newParts();
  beat('a', 'b');
  for (let count = 0; count < 4; count += 1) {
    await clock.advance(500);
    beat('a');
  }
  t.is(live(), 'a');
});

test('nobody is gone on a view that stands still', async (t) => {
  // The store goes silent 0.4 s after the newest heartbeats. For some hundred milliseconds the view
  // still counts as new, and hosts that were dead by the clock dropped items that were half done.
  const { clock, members, beat, live } = newParts();
  beat('a', 'b');
  await clock.advance(400);
  members.noteView(clock.now());
  await clock.advance(1_500);
  t.is(live(), 'a b');
});

test('after an outage hosts have a whole life to be heard again', async (t) => {
  // No host could write for six seconds. The first page after it holds nobody's heartbeat yet; taken
  // for news of their death, it would move every batch for an instant.
  const { clock, members, beat, live } = newParts();
  beat('a', 'b');
  await clock.advance(6_000);
  members.noteView(clock.now());
  t.is(live(), 'a b');
  await clock.advance(900);
  beat('a');
  t.is(live(), 'a b');
  await clock.advance(900);
  beat('a');
  t.is(live(), 'a');
});

test('a host that said that it leaves is not live on any view', async (t) => {
  const { members, beat, live } = newParts();
  beat('a', 'b');
  members.apply(heartbeatOf('b', { isLeaving: true }));
  t.is(live(), 'a');
});

test('what other hosts run goes out of date while the view stands still', async (t) => {
  // All engines are full as the topic of heartbeats goes silent, and the batches go on. Taken for
  // full until the heartbeats are back, the engines stood empty for three seconds.
  const { clock, members } = newParts();
  members.apply(heartbeatOf('a', { running: { engine: 5 } }));
  members.apply(heartbeatOf('b', { running: { engine: 7 } }));
  members.noteView(clock.now());
  t.deepEqual([...members.runningElsewhere()], [['engine', 7]]);
  await clock.advance(1_700);
  t.deepEqual([...members.runningElsewhere()], []);
});

test('the list of live hosts is the same one while nobody comes or goes', async (t) => {
  const { clock, members, beat, live } = newParts();
  beat('a', 'b');
  const before = members.live();
  await clock.advance(500);
  beat('a', 'b');
  t.is(members.live(), before);
  beat('c');
  t.is(live(), 'a b c');
  members.apply(heartbeatOf('b', { incarnation: 'b-second-run' }));
  t.deepEqual(
    members.live().map(({ incarnation }) => incarnation),
    ['a-run', 'b-second-run', 'c-run'],
    'a host that was restarted is another run',
  );
  for (let count = 0; count < 4; count += 1) {
    await clock.advance(500);
    beat('b', 'c');
  }
  t.is(live(), 'b c', 'a host without heartbeats is gone');
});
