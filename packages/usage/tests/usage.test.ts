import newLogger from '@cyclamengate/common/newLogger';
import { Err, Ok } from '@cyclamengate/common/outcome';
import type { Result } from '@cyclamengate/common/outcome';
import { REPORTS_LEASE } from '@cyclamengate/coordination/leaseNames';
import { newLease } from '@cyclamengate/coordination/newLease';
import type { UsageDelta } from '@cyclamengate/coordination/usageRecords';
import { newManualClock } from '@cyclamengate/fakes/newManualClock';
import type { ManualClock } from '@cyclamengate/fakes/newManualClock';
import { newMemoryLog } from '@cyclamengate/fakes/newMemoryLog';
import type { MemoryLog } from '@cyclamengate/fakes/newMemoryLog';
import type { PlatformFault } from '@cyclamengate/platform/platformFault';
import type { UsageReport } from '@cyclamengate/platform/usageReport';
import UsageReports from '@cyclamengate/platform/UsageReports';
import newLogHost from '@cyclamengate/harness/newLogHost';
import test from 'ava';
import newMeter from '../src/newMeter.js';
import newUsageKeeper from '../src/newUsageKeeper.js';
import reportUsage from '../src/reportUsage.js';

const WINDOW_MS = 10_000;
const SILENT_LEVEL = 6;

/** The platform's report interface; some answers get lost after the report was taken. */
class FakeReports extends UsageReports {
  readonly taken: UsageReport[] = [];

  answersToLose = 0;

  async send(
    report: UsageReport,
    isStillHeld: () => boolean,
  ): Promise<Result<void, PlatformFault>> {
    if (!isStillHeld()) return Err('not-sent');
    this.taken.push(structuredClone(report));
    if (this.answersToLose === 0) return Ok(undefined);
    this.answersToLose -= 1;
    return Err('unknown');
  }
}

const newReporter = (log: MemoryLog, clock: ManualClock, reports: UsageReports, name: string) => {
  const host = newLogHost(log, clock, name);
  const { follower, writer, signal } = host;
  const lease = newLease({
    clock,
    follower,
    writer,
    name: REPORTS_LEASE,
    holder: name,
    deferMs: () => (name === 'first' ? 0 : 100),
  });
  lease.run(signal).catch(() => undefined);
  const silent = newLogger('test', SILENT_LEVEL);
  reportUsage(
    { clock, log: silent, follower, writer, lease, reports, windowMs: WINDOW_MS },
    signal,
  ).catch(() => undefined);
  return { ...host, lease };
};

const newEntry = (
  log: MemoryLog,
  clock: ManualClock,
  name: string,
  copy: (deltas: UsageDelta[]) => Promise<void> = async () => undefined,
) => {
  const host = newLogHost(log, clock, name);
  const { follower, writer, signal } = host;
  const meter = newMeter({ clock, follower, writer, host: name, windowMs: WINDOW_MS, copy });
  meter.run(signal).catch(() => undefined);
  return { ...host, meter };
};

const newBench = () => ({
  log: newMemoryLog(),
  clock: newManualClock(),
  reports: new FakeReports(),
});

const used = (outputTokens: number) => ({ requests: 1, promptTokens: 0, outputTokens });

const billedOf = (reports: FakeReports): number => {
  const byWindow = new Map(reports.taken.map((report) => [report.window, report]));
  return [...byWindow.values()].reduce(
    (sum, { figures }) => sum + (figures.players?.outputTokens ?? 0),
    0,
  );
};

const isAlwaysTheSame = (reports: FakeReports): boolean =>
  reports.taken.every((report) =>
    reports.taken
      .filter(({ window }) => window === report.window)
      .every(({ figures }) => JSON.stringify(figures) === JSON.stringify(report.figures)),
  );

// The platform takes a report and its answer is lost, while usage of that window still trickles in.
// The naive way sends the window again with other figures, and the customer's bill is wrong.
test('a report whose answer is lost is sent again with the very same figures', async (t) => {
  const { log, clock, reports } = newBench();
  reports.answersToLose = 3;
  newReporter(log, clock, reports, 'first');
  const { meter } = newEntry(log, clock, 'entry');
  for (let second = 0; second < 40; second += 1) {
    meter.add('players', used(5));
    await clock.advance(1_000);
  }
  await clock.advance(30_000);
  t.true(reports.taken.length > 4);
  t.true(isAlwaysTheSame(reports));
  t.is(billedOf(reports), 200);
});

// The reporter's process stops answering in the middle of its work and another one takes over.
test('a successor reports what its frozen predecessor would have, and nothing twice differently', async (t) => {
  const { log, clock, reports } = newBench();
  const first = newReporter(log, clock, reports, 'first');
  newReporter(log, clock, reports, 'second');
  const { meter } = newEntry(log, clock, 'entry');
  for (let second = 0; second < 60; second += 1) {
    meter.add('players', used(3));
    if (second === 17) first.kill();
    await clock.advance(1_000);
  }
  await clock.advance(40_000);
  t.true(isAlwaysTheSame(reports));
  t.is(billedOf(reports), 180);
});

// An entry is killed between counting and writing. Without a copy elsewhere its usage is never billed.
test('a killed host loses no usage that it has copied to a peer', async (t) => {
  const { log, clock, reports } = newBench();
  newReporter(log, clock, reports, 'first');
  const peer = newLogHost(log, clock, 'peer');
  const live = new Set(['entry', 'peer']);
  const keeper = newUsageKeeper({
    clock,
    follower: peer.follower,
    writer: peer.writer,
    isLive: (host) => live.has(host),
  });
  keeper.run(peer.signal).catch(() => undefined);
  const entry = newEntry(log, clock, 'entry', async (deltas) => keeper.keep('entry', deltas));
  await clock.advance(2_100);
  entry.meter.add('players', used(77));
  await clock.advance(600);
  entry.kill();
  await clock.advance(100);
  const before = peer.follower.state().usage.hosts.entry?.sequence ?? -1;
  t.is(before, -1);
  live.delete('entry');
  await clock.advance(40_000);
  t.is(billedOf(reports), 77);
});

// The peers take a slow host for dead and write its usage for it, while it goes on writing itself.
test('usage written by the host and by its keeper counts once', async (t) => {
  const { log, clock, reports } = newBench();
  newReporter(log, clock, reports, 'first');
  const peer = newLogHost(log, clock, 'peer');
  const { follower, writer } = peer;
  const keeper = newUsageKeeper({ clock, follower, writer, isLive: () => false });
  keeper.run(peer.signal).catch(() => undefined);
  const entry = newEntry(log, clock, 'entry', async (deltas) => keeper.keep('entry', deltas));
  for (let second = 0; second < 20; second += 1) {
    entry.meter.add('players', used(2));
    await clock.advance(1_000);
  }
  await clock.advance(30_000);
  t.is(billedOf(reports), 40);
});

// The log is out over the end of a window. Reports may be late for it, but not wrong.
test('an outage of the log makes reports late, never wrong', async (t) => {
  const { log, clock, reports } = newBench();
  newReporter(log, clock, reports, 'first');
  newReporter(log, clock, reports, 'second');
  const { meter } = newEntry(log, clock, 'entry');
  for (let second = 0; second < 60; second += 1) {
    log.isDown = second >= 8 && second < 45;
    meter.add('players', used(1));
    await clock.advance(1_000);
  }
  await clock.advance(60_000);
  t.true(isAlwaysTheSame(reports));
  t.is(billedOf(reports), 60);
});

// A host was cut off while its window was closed and reported; its usage comes in afterwards.
test('usage that comes after its window was closed is billed with the next window', async (t) => {
  const { log, clock, reports } = newBench();
  newReporter(log, clock, reports, 'first');
  const near = newEntry(log, clock, 'near');
  const cut = newEntry(log, clock, 'cut');
  const full = log.fate;
  log.fate = (bodies) =>
    bodies.some((body) => body.includes('"writer":"cut"')) ? 'refused' : 'lands';
  cut.meter.add('players', used(40));
  near.meter.add('players', used(2));
  await clock.advance(25_000);
  t.is(billedOf(reports), 2);
  log.fate = full;
  near.meter.add('players', used(1));
  await clock.advance(40_000);
  t.true(isAlwaysTheSame(reports));
  t.is(billedOf(reports), 43);
});

// As above, but nobody calls any more: no further window would ever be closed to carry it.
test('late usage is billed also when no other usage follows', async (t) => {
  const { log, clock, reports } = newBench();
  newReporter(log, clock, reports, 'first');
  const near = newEntry(log, clock, 'near');
  const cut = newEntry(log, clock, 'cut');
  log.fate = (bodies) =>
    bodies.some((body) => body.includes('"writer":"cut"')) ? 'refused' : 'lands';
  cut.meter.add('players', used(40));
  near.meter.add('players', used(2));
  await clock.advance(25_000);
  log.fate = () => 'lands';
  await clock.advance(40_000);
  t.true(isAlwaysTheSame(reports));
  t.is(billedOf(reports), 42);
});
