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
const READ_EVERY_MS = 100;

/** A process that contends for the lease, with a clock of its own that a test can hold still. */
const newContender = (log: MemoryLog, clock: ManualClock, holder: string, deferMs = 0) => {
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
    deferMs: () => deferMs,
  });
  const { signal } = new AbortController();
  let isDeaf = false;
  const read = async (): Promise<void> => {
    for (;;) {
      const page = await log.read(follower.next());
      if (page.ok && !isDeaf) follower.ingest({ ...page.val, logFirst: 0, ageMs: 0 });
      await clock.sleepUntil(clock.now() + READ_EVERY_MS);
    }
  };
  read().catch(() => undefined);
  writer.run(signal).catch(() => undefined);
  lease.run(signal).catch(() => undefined);
  return {
    lease,
    follower,
    /** While deaf it reads nothing, and so can't learn that another one took over. */
    setDeaf: (wanted: boolean): void => {
      isDeaf = wanted;
    },
  };
};

// The holder's process is stopped by its machine for longer than its term and then goes on where it
// was. A user would see the platform get orders from two processes that contradict each other.
test('a holder frozen beyond its term holds nothing when it resumes', async (t) => {
  const log = newMemoryLog();
  const frozen = newManualClock();
  const running = newManualClock();
  const first = newContender(log, frozen, 'first');
  await frozen.advance(1_000);
  t.truthy(first.lease.holdFor(0));
  const second = newContender(log, running, 'second');
  await running.advance(LEASE_TERM_MS - 1_000);
  t.is(second.lease.holdFor(0), null);
  await running.advance(LEASE_MARGIN_MS + 2_000);
  const held = second.lease.holdFor(0);
  t.truthy(held);
  // The frozen process's monotonic clock has gone on without it; its first look finds the term over.
  frozen.jump(LEASE_TERM_MS + 1_500);
  t.is(first.lease.holdFor(0), null);
  await frozen.advance(500);
  await running.advance(500);
  t.is(first.lease.holdFor(0), null);
  t.truthy(second.lease.holdFor(0));
  t.true((held?.fence ?? 0) > 0);
});

// A claim's answer is lost and the record lands long after another process took the lease. A user
// would see the lease jump back to a process that gave up on it.
test('a claim that lands late takes nothing from the present holder', async (t) => {
  const log = newMemoryLog();
  const clock = newManualClock();
  let isHeldBack = true;
  log.fate = (bodies) =>
    isHeldBack && bodies.some((body) => body.includes('"holder":"slow"')) ? 'lands-late' : 'lands';
  const slow = newContender(log, clock, 'slow');
  await clock.advance(1_000);
  const quick = newContender(log, clock, 'quick', 50);
  await clock.advance(1_000);
  t.truthy(quick.lease.holdFor(0));
  isHeldBack = false;
  log.landLate();
  await clock.advance(500);
  t.is(slow.lease.holdFor(0), null);
  t.truthy(quick.lease.holdFor(0));
});

// The platform's log is out for longer than a term. The holder can't renew, so it must stop by
// itself; nobody may take over until the log is back to decide.
test('an outage of the log ends a lease on time and gives it to nobody else', async (t) => {
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

// Somebody sets the machine's clock back or forward by an hour. A lease that looked at the wall clock
// would end at once or last for an hour too long.
test('a step of the wall clock changes no lease', async (t) => {
  const log = newMemoryLog();
  const clock = newManualClock();
  const { lease } = newContender(log, clock, 'first');
  await clock.advance(1_000);
  clock.stepWall(3_600_000);
  await clock.advance(500);
  t.truthy(lease.holdFor(0));
  clock.stepWall(-7_200_000);
  await clock.advance(500);
  t.truthy(lease.holdFor(0));
});

test('a lease that is given back is taken over without waiting for its term', async (t) => {
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

// Freezes, lost answers, late landings and outages come in any order. Whatever they are, the platform
// must never get orders from two processes that both believe they are in charge.
test('never two holders at one time, whatever fails in whatever order', async (t) => {
  const fault = fc.constantFrom(
    ...(['none', 'answer-lost', 'lands-late', 'refused', 'down', 'land', 'deaf'] as const),
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
        if (kind === 'land') log.landLate();
        const isAppendFault = kind === 'answer-lost' || kind === 'lands-late' || kind === 'refused';
        log.fate = () => (isAppendFault ? kind : 'lands');
        contenders.forEach(({ lease, setDeaf }) =>
          setDeaf(kind === 'deaf' && lease.holdFor(0) !== null),
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
