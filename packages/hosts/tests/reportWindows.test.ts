import { newManualClock } from '@cyclamengate/fakes/newManualClock';
import test from 'ava';
import type { CoordinationRecord, Heartbeat } from '../src/coordinationRecord.js';
import newMembers from '../src/newMembers.js';
import newUsageCounts from '../src/newUsageCounts.js';
import reportWindows from '../src/reportWindows.js';
import UsageReports from '../src/UsageReports.js';
import type { ReportOutcome, UsageReport } from '../src/UsageReports.js';

const WINDOW_MS = 5_000;
const log = { info: () => {}, warn: () => {}, error: () => {} };

const newParts = () => {
  const clock = newManualClock(100 * WINDOW_MS);
  const members = newMembers(clock, 'a', () => 2_000);
  const usage = newUsageCounts(() => Math.floor(clock.wallTime() / WINDOW_MS));
  const sent: UsageReport[] = [];
  const windowsWithLostAnswer = new Set<number>();
  const stop = new AbortController();
  const store = { isAway: false, readDelayMs: 0 };

  class FakeReports extends UsageReports {
    async send(report: UsageReport): Promise<ReportOutcome> {
      sent.push(structuredClone(report));
      const isLost = windowsWithLostAnswer.delete(report.window);
      return isLost ? 'unknown' : 'taken';
    }
  }

  const write = async (record: CoordinationRecord) => {
    if (store.isAway) return 'not-written' as const;
    if (record.type === 'usage-close') usage.applyClose(record.window, record.counts);
    if (record.type === 'usage-reported') {
      clock
        .sleepUntil(clock.now() + store.readDelayMs)
        .then(() => usage.applyReported(record.window));
    }
    return 'written' as const;
  };
  const heartbeat = (host: string, counts: Heartbeat['usage'], countedThrough: number): void => {
    const record: Heartbeat = {
      type: 'heartbeat',
      address: '10.0.0.1:7780',
      host,
      incarnation: `${host}-run`,
      number: 0,
      failureDomain: 'detroit',
      cores: 1,
      isLeaving: false,
      running: {},
      usage: counts,
      countedThrough,
    };
    members.apply(record);
    usage.applyHeartbeat(record);
  };
  const lease = {
    run: async () => {},
    resign: async () => {},
    hold: () => (store.isAway ? null : { subject: 'usage', token: 7 }),
  };
  const reports = new FakeReports();
  const options = { clock, log, host: 'a', windowMs: WINDOW_MS, lease, members, usage, reports };
  const running = reportWindows({ ...options, write }, stop.signal);
  const end = async (): Promise<void> => {
    stop.abort();
    await running;
  };
  /** Two hosts are heard, and then the store is away. */
  const passOutage = async (durationMs: number): Promise<void> => {
    heartbeat('a', { 99: { museum: 1 } }, 99);
    heartbeat('b', { 99: { museum: 1 } }, 99);
    members.advanceView(clock.now());
    await clock.advance(1_000);
    store.isAway = true;
    await clock.advance(durationMs);
    store.isAway = false;
  };
  return { clock, members, store, sent, windowsWithLostAnswer, heartbeat, passOutage, end };
};

test('a report whose answer was lost is sent again with the same figures', async (t) => {
  // The platform accepts a report but its response is lost, and a host's late counts arrive before
  // the report is repeated. If it included them, the window would be reported with two totals.
  const { clock, sent, windowsWithLostAnswer, heartbeat, end } = newParts();
  windowsWithLostAnswer.add(99);
  heartbeat('a', { 99: { museum: 3 } }, 99);
  while (!sent.some(({ window }) => window === 99)) await clock.advance(100);
  heartbeat('b', { 99: { museum: 2 } }, 99);
  await clock.advance(1_000);
  const reports = sent.filter(({ window }) => window === 99);
  t.is(reports.length, 2);
  t.deepEqual(reports[0], reports[1]);
  t.deepEqual(reports[0]?.counts, { museum: 3 });
  await end();
});

test('a window is reported once by a host that reads its own record late', async (t) => {
  // Guards against a report for each check until the host has read that it was taken.
  const { clock, members, store, sent, heartbeat, end } = newParts();
  store.readDelayMs = 3_000;
  heartbeat('a', { 99: { museum: 2 } }, 99);
  members.advanceView(clock.now());
  await clock.advance(4_000);
  t.deepEqual(
    sent.map(({ window }) => window),
    [...new Set(sent.map(({ window }) => window))],
  );
  t.true(sent.length > 0);
  await end();
});

test('a window is closed once every live host has final counts for it', async (t) => {
  // The heartbeat with one host's final counts is late. A window closed without it would underbill.
  const { clock, sent, heartbeat, end } = newParts();
  heartbeat('a', { 100: { museum: 3 } }, 99);
  heartbeat('b', { 100: { museum: 2 } }, 99);
  for (let second = 0; second < 5; second += 1) {
    await clock.advance(1_000);
    heartbeat('a', { 100: { museum: 3 } }, second === 4 ? 100 : 99);
    heartbeat('b', { 100: { museum: 2 } }, 99);
  }
  await clock.advance(900);
  t.deepEqual(
    sent.filter(({ window }) => window === 100),
    [],
  );
  heartbeat('b', { 100: { museum: 4 } }, 100);
  await clock.advance(900);
  t.deepEqual(sent.find(({ window }) => window === 100)?.counts, { museum: 7 });
  await end();
});

test('a dead host delays the close of a window only for the grace period', async (t) => {
  // A host dies before it sends its last counts. The window must still be reported in time.
  const { clock, sent, heartbeat, end } = newParts();
  heartbeat('a', { 100: { museum: 3 } }, 99);
  for (let second = 0; second < 12; second += 1) {
    heartbeat('b', { 100: { museum: 2 } }, second < 6 ? 99 : 101);
    await clock.advance(1_000);
  }
  t.deepEqual(sent.find(({ window }) => window === 100)?.counts, { museum: 5 });
  await end();
});

test('the windows of a store outage are reported once all hosts are heard again', async (t) => {
  // Guards against use that is never billed: the store is away for several windows, and a host's
  // counts of them arrive seconds after those of the holder.
  const { clock, members, sent, heartbeat, passOutage, end } = newParts();
  await passOutage(30_000);
  members.advanceView(clock.now());
  heartbeat('a', { 103: { museum: 3 } }, 105);
  await clock.advance(1_500);
  t.false(sent.some(({ window }) => window === 103));
  heartbeat('b', { 103: { museum: 2 } }, 105);
  await clock.advance(5_000);
  const reports = sent.filter(({ window }) => window === 103);
  t.deepEqual(
    reports.map(({ counts }) => counts),
    [{ museum: 5 }],
  );
  await end();
});

test('a host whose calls hang for seconds after an outage is waited for', async (t) => {
  // Guards against use that is never billed: the other hosts are heard again at once, and this one no
  // longer counts as live when its counts come.
  const { clock, members, sent, heartbeat, passOutage, end } = newParts();
  await passOutage(7_000);
  for (let count = 0; count < 8; count += 1) {
    heartbeat('a', { 100: { museum: 3 } }, 100);
    members.advanceView(clock.now());
    await clock.advance(500);
  }
  t.is(members.live().length, 1);
  t.false(sent.some(({ window }) => window === 100));
  heartbeat('b', { 100: { museum: 2 } }, 100);
  await clock.advance(1_500);
  t.deepEqual(sent.find(({ window }) => window === 100)?.counts, { museum: 5 });
  await end();
});
