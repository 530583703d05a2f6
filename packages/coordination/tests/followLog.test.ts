import { Err, Ok } from '@cyclamengate/common/outcome';
import type { Result } from '@cyclamengate/common/outcome';
import { newManualClock } from '@cyclamengate/fakes/newManualClock';
import type { LogRecord } from '@cyclamengate/platform/logRecord';
import test from 'ava';
import chooseSources from '../src/chooseSources.js';
import followLog from '../src/followLog.js';
import type { Member } from '../src/member.js';
import newFollower from '../src/newFollower.js';
import newFold from '../src/newFold.js';
import newMembership from '../src/newMembership.js';
import RecordSource from '../src/RecordSource.js';
import type { SourceFault, SourcePage } from '../src/RecordSource.js';
import type { SystemState } from '../src/systemState.js';
import { bodyOf, changeOf, rootSubtree } from './recordHelpers.js';

const WAIT_MS = 200;

const logOf = (count: number): LogRecord[] =>
  Array.from({ length: count }, (_, offset) => ({
    offset,
    at: offset,
    body: bodyOf(
      offset === 0
        ? changeOf('/', -1, rootSubtree)
        : changeOf(`/team-${offset}`, -1, { customers: [{ id: `c${offset}` }] }),
    ),
  }));

/** A source that holds some records of the log and may be down. */
class FakeSource extends RecordSource {
  reads = 0;

  isDown = false;

  constructor(
    readonly name: string,
    private readonly clock: ReturnType<typeof newManualClock>,
    public records: LogRecord[],
    public state: SystemState | null = null,
  ) {
    super();
  }

  async read(from: number): Promise<Result<SourcePage, SourceFault>> {
    this.reads += 1;
    await this.clock.sleepUntil(this.clock.now() + WAIT_MS);
    if (this.isDown) return Err('unreachable');
    const records = this.records.filter(({ offset }) => offset >= from);
    return Ok({ records, first: this.records[0]?.offset ?? 0, logFirst: 0, ageMs: 0 });
  }

  async snapshot(): Promise<SystemState | null> {
    return this.state;
  }
}

const newBench = (highest: number) => {
  const clock = newManualClock();
  const follower = newFollower(clock);
  const sources: RecordSource[] = [];
  const stop = new AbortController();
  const start = (): void => {
    const options = { clock, follower, sources: () => sources, highestKnown: () => highest };
    followLog(options, stop.signal).catch(() => undefined);
  };
  return { clock, follower, sources, start, stop: () => stop.abort() };
};

// A relay is up and answers, but its own source is stuck: its pages are empty for ever. Its readers
// would serve withdrawn keys as long as it lives.
test('a reader leaves a relay that falls behind what members report', async (t) => {
  const { clock, follower, sources, start, stop } = newBench(4);
  const records = logOf(5);
  sources.push(
    new FakeSource('stuck', clock, records.slice(0, 2)),
    new FakeSource('log', clock, records),
  );
  start();
  await clock.advance(1_000);
  t.is(follower.state().offset, 1);
  await clock.advance(3_000);
  t.is(follower.state().offset, 4);
  stop();
});

test('while the log is out records come from a peer, and a relay that died is replaced', async (t) => {
  const { clock, follower, sources, start, stop } = newBench(4);
  const records = logOf(5);
  const relay = new FakeSource('relay', clock, records.slice(0, 3));
  const log = new FakeSource('log', clock, []);
  log.isDown = true;
  sources.push(relay, log, new FakeSource('far peer', clock, records));
  start();
  await clock.advance(500);
  relay.isDown = true;
  await clock.advance(4_000);
  t.is(follower.state().offset, 4);
  stop();
});

// A new host starts while the log is out; its peers no longer hold the first records.
test('a host that is behind what a peer still relays takes the whole state from it', async (t) => {
  const { clock, follower, sources, start, stop } = newBench(5);
  const records = logOf(6);
  const fold = newFold();
  records.slice(0, 5).forEach((record) => fold.apply(record));
  sources.push(new FakeSource('peer', clock, records.slice(3), fold.state()));
  start();
  await clock.advance(2_000);
  t.is(follower.state().offset, 5);
  t.truthy(follower.state().settings['/team-5']);
  stop();
});

// A peer that was paused offers its old state to a host that is further ahead.
test('a host never moves back to a lower offset', (t) => {
  const follower = newFollower(newManualClock());
  const records = logOf(6);
  const old = newFold();
  records.slice(0, 2).forEach((record) => old.apply(record));
  follower.ingest({ records, first: 0, logFirst: 0, ageMs: 0 });
  follower.load(structuredClone(old.state()));
  follower.ingest({ records: records.slice(0, 3), first: 0, logFirst: 0, ageMs: 0 });
  t.is(follower.state().offset, 5);
  t.truthy(follower.state().settings['/team-5']);
});

const memberOf = (index: number, failureDomain: string): Member => ({
  id: `host-${index}`,
  incarnation: `host-${index}`,
  role: 'entry',
  failureDomain,
  peerUrl: `http://127.0.0.1:${index + 1}`,
  url: '',
  heartbeat: 1,
  offset: 0,
  isLeaving: false,
  inFlight: {},
  demand: {},
});

test('of many hosts two in each failure domain read the log, and every chain ends at one of them', (t) => {
  const members = Array.from({ length: 330 }, (_, index) => memberOf(index, `domain-${index % 8}`));
  const parents = new Map(
    members.map((self) => [
      self.id,
      chooseSources(
        self,
        members.filter(({ id }) => id !== self.id),
      )[0]?.id ?? null,
    ]),
  );
  const readers = [...parents.values()].filter((parent) => parent === null).length;
  t.is(readers, 16);
  members.forEach(({ id }) => {
    let depth = 0;
    for (let at: string | null = id; at !== null; depth += 1) at = parents.get(at) ?? null;
    t.true(depth <= 4, `${id} is ${depth} deep`);
  });
  const children = new Map<string, number>();
  parents.forEach((parent) => parent && children.set(parent, (children.get(parent) ?? 0) + 1));
  t.true(Math.max(...children.values()) <= 16);
});

test('a member whose heartbeat stands still is silent, and its late word does not revive it', async (t) => {
  const clock = newManualClock();
  const self = memberOf(0, 'a');
  const membership = newMembership(
    clock,
    () => self,
    () => 0.5,
  );
  const other = memberOf(1, 'b');
  membership.learn([{ ...other, heartbeat: 7 }]);
  t.is(membership.live().length, 2);
  await clock.advance(6_000);
  membership.learn([{ ...other, heartbeat: 7 }]);
  t.is(membership.live().length, 1);
  t.deepEqual(
    membership.silent().map(({ id }) => id),
    [other.id],
  );
  membership.learn([{ ...other, heartbeat: 8 }]);
  t.is(membership.live().length, 2);
});
