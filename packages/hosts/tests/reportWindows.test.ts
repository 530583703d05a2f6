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
  const usage = newUsageCounts();
  const sent: UsageReport[] = [];
  const lostAnswers = new Set<number>();
  const stop = new AbortController();

  class FakeReports extends UsageReports {
    async send(report: UsageReport): Promise<ReportOutcome> {
      sent.push(structuredClone(report));
      const isLost = lostAnswers.delete(report.window);
      return isLost ? 'unknown' : 'taken';
    }
  }

  const write = async (record: CoordinationRecord) => {
    if (record.type === 'usage-close') usage.applyClose(record.window, record.counts);
    if (record.type === 'usage-reported') usage.applyReported(record.window);
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
    hold: () => ({ subject: 'usage', token: 7 }),
  };
  const reports = new FakeReports();
  const options = { clock, log, host: 'a', windowMs: WINDOW_MS, lease, members, usage, reports };
  const running = reportWindows({ ...options, write }, stop.signal);
  const end = async (): Promise<void> => {
    stop.abort();
    await running;
  };
  return { clock, sent, lostAnswers, heartbeat, end };
};

test('a report whose answer was lost is sent again with the same figures', async (t) => {
  // The platform has taken the report and its answer is lost. A host's counts arrive late, in
  // between. Sent with them, the window would stand there twice, with different figures.
  const { clock, sent, lostAnswers, heartbeat, end } = newParts();
  lostAnswers.add(99);
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

test('a window is closed once every live host has said its last word on it', async (t) => {
  // One host's heartbeat is a little late. Closed without it, its customers would be billed too low.
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

test('a dead host holds no window back for long', async (t) => {
  // A host dies with its last counts unsent. The window is reported without them, still in time.
  const { clock, sent, heartbeat, end } = newParts();
  heartbeat('a', { 100: { museum: 3 } }, 99);
  for (let second = 0; second < 12; second += 1) {
    heartbeat('b', { 100: { museum: 2 } }, second < 6 ? 99 : 101);
    await clock.advance(1_000);
  }
  t.deepEqual(sent.find(({ window }) => window === 100)?.counts, { museum: 5 });
  await end();
});
