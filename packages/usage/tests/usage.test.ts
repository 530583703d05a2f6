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
import newUsageReplicaStore from '../src/newUsageReplicaStore.js';
import reportUsage from '../src/reportUsage.js';

const WINDOW_MS = 10_000;
const SILENT_LEVEL = 6;

/** The platform's report interface. Some answers are lost after the report was accepted. */
class FakeReports extends UsageReports {
  readonly acceptedReports: UsageReport[] = [];

  answersToLose = 0;

  async send(
    report: UsageReport,
    isStillHeld: () => boolean,
  ): Promise<Result<void, PlatformFault>> {
    if (!isStillHeld()) return Err('not-sent');
    this.acceptedReports.push(structuredClone(report));
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
    claimDelayMs: () => (name === 'first' ? 0 : 100),
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

const newFigure = (outputTokens: number) => ({ requests: 1, promptTokens: 0, outputTokens });

const sumBilledTokens = (reports: FakeReports): number => {
  const byWindow = new Map(reports.acceptedReports.map((report) => [report.window, report]));
  return [...byWindow.values()].reduce(
    (sum, { figures }) => sum + (figures.players?.outputTokens ?? 0),
    0,
  );
};

const areRepeatsIdentical = (reports: FakeReports): boolean =>
  reports.acceptedReports.every((report) =>
    reports.acceptedReports
      .filter(({ window }) => window === report.window)
      .every(({ figures }) => JSON.stringify(figures) === JSON.stringify(report.figures)),
  );

// The answer to a report is lost while usage of its window still arrives. Repeating the report with
// the current figures would bill the customer incorrectly.
test('a report whose answer is lost is repeated with identical figures', async (t) => {
  const { log, clock, reports } = newBench();
  reports.answersToLose = 3;
  newReporter(log, clock, reports, 'first');
  const { meter } = newEntry(log, clock, 'entry');
  for (let second = 0; second < 40; second += 1) {
    meter.add('players', newFigure(5));
    await clock.advance(1_000);
  }
  await clock.advance(30_000);
  t.true(reports.acceptedReports.length > 4);
  t.true(areRepeatsIdentical(reports));
  t.is(sumBilledTokens(reports), 200);
});

// The reporting process fails while it reports, and another process takes over its lease.
test('a successor reports the figures that its failed predecessor would have reported', async (t) => {
  const { log, clock, reports } = newBench();
  const first = newReporter(log, clock, reports, 'first');
  newReporter(log, clock, reports, 'second');
  const { meter } = newEntry(log, clock, 'entry');
  for (let second = 0; second < 60; second += 1) {
    meter.add('players', newFigure(3));
    if (second === 17) first.kill();
    await clock.advance(1_000);
  }
  await clock.advance(40_000);
  t.true(areRepeatsIdentical(reports));
  t.is(sumBilledTokens(reports), 180);
});

// An entry is killed after counting usage and before writing it to the log. Without a copy on a
// peer, that usage would never be billed.
test('a killed host loses no usage that it has copied to a peer', async (t) => {
  const { log, clock, reports } = newBench();
  newReporter(log, clock, reports, 'first');
  const peer = newLogHost(log, clock, 'peer');
  const live = new Set(['entry', 'peer']);
  const replicaStore = newUsageReplicaStore({
    clock,
    follower: peer.follower,
    writer: peer.writer,
    isLive: (host) => live.has(host),
  });
  replicaStore.run(peer.signal).catch(() => undefined);
  const entry = newEntry(log, clock, 'entry', async (deltas) =>
    replicaStore.store('entry', deltas),
  );
  await clock.advance(2_100);
  entry.meter.add('players', newFigure(77));
  await clock.advance(600);
  entry.kill();
  await clock.advance(100);
  const before = peer.follower.state().usage.hosts.entry?.sequence ?? -1;
  t.is(before, -1);
  live.delete('entry');
  await clock.advance(40_000);
  t.is(sumBilledTokens(reports), 77);
});

// A peer considers a slow host failed and writes its usage on its behalf, while the host still
// writes the same usage itself.
test('usage written by a host and on its behalf by a peer is counted once', async (t) => {
  const { log, clock, reports } = newBench();
  newReporter(log, clock, reports, 'first');
  const peer = newLogHost(log, clock, 'peer');
  const { follower, writer } = peer;
  const replicaStore = newUsageReplicaStore({ clock, follower, writer, isLive: () => false });
  replicaStore.run(peer.signal).catch(() => undefined);
  const entry = newEntry(log, clock, 'entry', async (deltas) =>
    replicaStore.store('entry', deltas),
  );
  for (let second = 0; second < 20; second += 1) {
    entry.meter.add('players', newFigure(2));
    await clock.advance(1_000);
  }
  await clock.advance(30_000);
  t.is(sumBilledTokens(reports), 40);
});

// The log is unavailable at the end of a window. This may delay reports, but not change their
// figures.
test('an outage of the log delays reports but does not falsify them', async (t) => {
  const { log, clock, reports } = newBench();
  newReporter(log, clock, reports, 'first');
  newReporter(log, clock, reports, 'second');
  const { meter } = newEntry(log, clock, 'entry');
  for (let second = 0; second < 60; second += 1) {
    log.isDown = second >= 8 && second < 45;
    meter.add('players', newFigure(1));
    await clock.advance(1_000);
  }
  await clock.advance(60_000);
  t.true(areRepeatsIdentical(reports));
  t.is(sumBilledTokens(reports), 60);
});

// A host is partitioned from the log while a window is closed and reported; its usage of that
// window arrives afterwards.
test('usage that arrives after its window was closed is billed with the next window', async (t) => {
  const { log, clock, reports } = newBench();
  newReporter(log, clock, reports, 'first');
  const connected = newEntry(log, clock, 'near');
  const isolated = newEntry(log, clock, 'cut');
  const originalOutcome = log.chooseOutcome;
  log.chooseOutcome = (bodies) =>
    bodies.some((body) => body.includes('"writer":"cut"')) ? 'refused' : 'lands';
  isolated.meter.add('players', newFigure(40));
  connected.meter.add('players', newFigure(2));
  await clock.advance(25_000);
  t.is(sumBilledTokens(reports), 2);
  log.chooseOutcome = originalOutcome;
  connected.meter.add('players', newFigure(1));
  await clock.advance(40_000);
  t.true(areRepeatsIdentical(reports));
  t.is(sumBilledTokens(reports), 43);
});

// As above, but without further calls: no other window would be closed to bill the late usage.
test('late usage is billed also when no other usage follows', async (t) => {
  const { log, clock, reports } = newBench();
  newReporter(log, clock, reports, 'first');
  const connected = newEntry(log, clock, 'near');
  const isolated = newEntry(log, clock, 'cut');
  log.chooseOutcome = (bodies) =>
    bodies.some((body) => body.includes('"writer":"cut"')) ? 'refused' : 'lands';
  isolated.meter.add('players', newFigure(40));
  connected.meter.add('players', newFigure(2));
  await clock.advance(25_000);
  log.chooseOutcome = () => 'lands';
  await clock.advance(40_000);
  t.true(areRepeatsIdentical(reports));
  t.is(sumBilledTokens(reports), 42);
});
