import newMetrics from '@cyclamengate/common/newMetrics';
import { newManualClock } from '@cyclamengate/fakes/newManualClock';
import type { ManualClock } from '@cyclamengate/fakes/newManualClock';
import { newMemoryLog } from '@cyclamengate/fakes/newMemoryLog';
import type { MemoryLog } from '@cyclamengate/fakes/newMemoryLog';
import test from 'ava';
import fc from 'fast-check';
import newFollower from '../src/newFollower.js';
import { LEASE_MARGIN_MS, LEASE_TERM_MS, newLease } from '../src/newLease.js';
import newLogWriter from '../src/newLogWriter.js';

const LEASE = 'orders-nafplio-a';
const READ_INTERVAL_MS = 100;

/** A process that contends for the lease, with its own clock that the test can stop. */
const newContender = (log: MemoryLog, clock: ManualClock, holder: string, claimDelayMs = 0) => {
  const follower = newFollower(clock);
  const writer = newLogWriter({
    clock,
    log,
    follower,
    metrics: newMetrics(),
    writer: holder,
    appendsPerSecond: () => 50,
    random: () => 0.5,
  });
  const lease = newLease({
    clock,
    follower,
    writer,
    name: LEASE,
    holder,
    claimDelayMs: () => claimDelayMs,
  });
  const { signal } = new AbortController();
  let isReadPaused = false;
  const read = async (): Promise<void> => {
    for (;;) {
      const page = await log.read(follower.next());
      if (page.ok && !isReadPaused) follower.ingest({ ...page.val, logFirst: 0, ageMs: 0 });
      await clock.sleepUntil(clock.now() + READ_INTERVAL_MS);
    }
  };
  read().catch(() => undefined);
  writer.run(signal).catch(() => undefined);
  lease.run(signal).catch(() => undefined);
  return {
    lease,
    follower,
    /** While paused it reads no records, so it cannot learn that another process took over. */
    setReadPaused: (wanted: boolean): void => {
      isReadPaused = wanted;
    },
  };
};

// The holder's process is suspended for longer than its term and then resumes where it stopped. The
// platform would receive contradictory orders from two processes.
test('a holder that is suspended beyond its term no longer holds the lease when it resumes', async (t) => {
  const log = newMemoryLog();
  const suspendedClock = newManualClock();
  const runningClock = newManualClock();
  const first = newContender(log, suspendedClock, 'first');
  await suspendedClock.advance(1_000);
  t.truthy(first.lease.holdFor(0));
  const second = newContender(log, runningClock, 'second');
  await runningClock.advance(LEASE_TERM_MS - 1_000);
  t.is(second.lease.holdFor(0), null);
  await runningClock.advance(LEASE_MARGIN_MS + 2_000);
  const held = second.lease.holdFor(0);
  t.truthy(held);
  // The suspended process's monotonic clock has advanced, so its first check finds the term ended.
  suspendedClock.jump(LEASE_TERM_MS + 1_500);
  t.is(first.lease.holdFor(0), null);
  await suspendedClock.advance(500);
  await runningClock.advance(500);
  t.is(first.lease.holdFor(0), null);
  t.truthy(second.lease.holdFor(0));
  t.true((held?.fence ?? 0) > 0);
});

// A claim is unanswered and is appended long after another process took the lease. The lease would
// move back to a process that no longer expects to hold it.
test('a claim that is appended late does not affect the current holder', async (t) => {
  const log = newMemoryLog();
  const clock = newManualClock();
  let isDelayed = true;
  log.chooseOutcome = (bodies) =>
    isDelayed && bodies.some((body) => body.includes('"holder":"slow"')) ? 'lands-late' : 'lands';
  const slow = newContender(log, clock, 'slow');
  await clock.advance(1_000);
  const quick = newContender(log, clock, 'quick', 50);
  await clock.advance(1_000);
  t.truthy(quick.lease.holdFor(0));
  isDelayed = false;
  log.writeDelayed();
  await clock.advance(500);
  t.is(slow.lease.holdFor(0), null);
  t.truthy(quick.lease.holdFor(0));
});

// The platform's log is unavailable for longer than a term. The holder cannot renew, so its lease
// must expire. No other process may take over until the log is available again.
test('during an outage of the log a lease expires on time and no other process acquires it', async (t) => {
  const log = newMemoryLog();
  const clock = newManualClock();
  const first = newContender(log, clock, 'first');
  const second = newContender(log, clock, 'second', 100);
  await clock.advance(2_000);
  t.truthy(first.lease.holdFor(0));
  log.isDown = true;
  await clock.advance(LEASE_TERM_MS + 100);
  t.is(first.lease.holdFor(0), null);
  await clock.advance(20_000);
  t.is(second.lease.holdFor(0), null);
  log.isDown = false;
  await clock.advance(15_000);
  const holders = [first, second].filter(({ lease }) => lease.holdFor(0));
  t.is(holders.length, 1);
});

// The machine's wall clock is set back or forward by an hour. A lease that depended on it would end
// at once or last an hour too long.
test('a step of the wall clock does not affect a lease', async (t) => {
  const log = newMemoryLog();
  const clock = newManualClock();
  const { lease } = newContender(log, clock, 'first');
  await clock.advance(1_000);
  clock.stepWallClock(3_600_000);
  await clock.advance(500);
  t.truthy(lease.holdFor(0));
  clock.stepWallClock(-7_200_000);
  await clock.advance(500);
  t.truthy(lease.holdFor(0));
});

test('a released lease is taken over without waiting for its term to end', async (t) => {
  const log = newMemoryLog();
  const clock = newManualClock();
  const first = newContender(log, clock, 'first');
  const second = newContender(log, clock, 'second', 100);
  await clock.advance(1_000);
  const released = first.lease.release();
  await clock.advance(1_000);
  await released;
  t.truthy(second.lease.holdFor(0));
  t.is(first.lease.holdFor(0), null);
});

// Paused readers, lost answers, late appends and outages occur in any order. The platform must
// never receive orders from two holders.
test('there are never two holders at the same time under any sequence of faults', async (t) => {
  const fault = fc.constantFrom(
    ...(['none', 'answer-lost', 'lands-late', 'refused', 'down', 'land', 'reads-paused'] as const),
  );
  await fc.assert(
    fc.asyncProperty(fc.array(fc.tuple(fault, fc.nat(4_000)), { maxLength: 12 }), async (plan) => {
      const log = newMemoryLog();
      const clock = newManualClock();
      const contenders = ['a', 'b', 'c'].map((name, rank) =>
        newContender(log, clock, name, rank * 50),
      );
      for (const [kind, forMs] of plan) {
        log.isDown = kind === 'down';
        if (kind === 'land') log.writeDelayed();
        const isAppendFault = kind === 'answer-lost' || kind === 'lands-late' || kind === 'refused';
        log.chooseOutcome = () => (isAppendFault ? kind : 'lands');
        contenders.forEach(({ lease, setReadPaused }) =>
          setReadPaused(kind === 'reads-paused' && lease.holdFor(0) !== null),
        );
        for (let spent = 0; spent <= forMs; spent += 250) {
          await clock.advance(250);
          const holders = contenders.filter(({ lease }) => lease.holdFor(0));
          t.true(holders.length <= 1);
        }
      }
    }),
    { numRuns: 15 },
  );
});
