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
import { newBody, newChange, rootSubtree } from './recordHelpers.js';

const READ_WAIT_MS = 200;

const newRecords = (count: number): LogRecord[] =>
  Array.from({ length: count }, (_, offset) => ({
    offset,
    at: offset,
    body: newBody(
      offset === 0
        ? newChange('/', -1, rootSubtree)
        : newChange(`/team-${offset}`, -1, { customers: [{ id: `c${offset}` }] }),
    ),
  }));

/** A source that has some records of the log and can be made unreachable. */
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
    await this.clock.sleepUntil(this.clock.now() + READ_WAIT_MS);
    if (this.isDown) return Err('unreachable');
    const records = this.records.filter(({ offset }) => offset >= from);
    return Ok({ records, first: this.records[0]?.offset ?? 0, logFirst: 0, ageMs: 0 });
  }

  async snapshot(): Promise<SystemState | null> {
    return this.state;
  }
}

const newParts = (highest: number) => {
  const clock = newManualClock();
  const follower = newFollower(clock);
  const sources: RecordSource[] = [];
  const stop = new AbortController();
  const start = (): void => {
    const options = { clock, follower, sources: () => sources, highestKnownOffset: () => highest };
    followLog(options, stop.signal).catch(() => undefined);
  };
  return { clock, follower, sources, start, stop: () => stop.abort() };
};

// A relay answers, but its own source is stuck, so it only returns empty pages. Its readers would
// continue to serve withdrawn keys.
test('a reader switches away from a relay that falls behind the offsets that members report', async (t) => {
  const { clock, follower, sources, start, stop } = newParts(4);
  const records = newRecords(5);
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

test('during an outage of the log records are read from a peer, and a failed relay is replaced', async (t) => {
  const { clock, follower, sources, start, stop } = newParts(4);
  const records = newRecords(5);
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

// A new host starts during an outage of the log, and its peers no longer have the first records.
test('a host that is behind the oldest record of a peer loads a snapshot from it', async (t) => {
  const { clock, follower, sources, start, stop } = newParts(5);
  const records = newRecords(6);
  const fold = newFold();
  records.slice(0, 5).forEach((record) => fold.apply(record));
  sources.push(new FakeSource('peer', clock, records.slice(3), fold.state()));
  start();
  await clock.advance(2_000);
  t.is(follower.state().offset, 5);
  t.truthy(follower.state().settings['/team-5']);
  stop();
});

// A peer that was paused sends its old state to a host that has a higher offset.
test('a host never moves back to a lower offset', (t) => {
  const follower = newFollower(newManualClock());
  const records = newRecords(6);
  const old = newFold();
  records.slice(0, 2).forEach((record) => old.apply(record));
  follower.ingest({ records, first: 0, logFirst: 0, ageMs: 0 });
  follower.load(structuredClone(old.state()));
  follower.ingest({ records: records.slice(0, 3), first: 0, logFirst: 0, ageMs: 0 });
  t.is(follower.state().offset, 5);
  t.truthy(follower.state().settings['/team-5']);
});

const newMember = (index: number, failureDomain: string): Member => ({
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

test('two hosts of each failure domain read the log and all others read through them', (t) => {
  const members = Array.from({ length: 330 }, (_, index) =>
    newMember(index, `domain-${index % 8}`),
  );
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

test('a member whose heartbeat does not advance is unresponsive, and repeating it does not revive it', async (t) => {
  const clock = newManualClock();
  const self = newMember(0, 'a');
  const membership = newMembership(
    clock,
    () => self,
    () => 0.5,
  );
  const other = newMember(1, 'b');
  membership.merge([{ ...other, heartbeat: 7 }]);
  t.is(membership.live().length, 2);
  await clock.advance(6_000);
  membership.merge([{ ...other, heartbeat: 7 }]);
  t.is(membership.live().length, 1);
  t.deepEqual(
    membership.unresponsive().map(({ id }) => id),
    [other.id],
  );
  membership.merge([{ ...other, heartbeat: 8 }]);
  t.is(membership.live().length, 2);
});
