import { newManualClock } from '@cyclamengate/fakes/newManualClock';
import type { ManualClock } from '@cyclamengate/fakes/newManualClock';
import type { WriteOutcome } from '@cyclamengate/store/newStoreWriter';
import test from 'ava';
import type { LeaseClaim } from '../src/coordinationRecord.js';
import newLeaseKeeper from '../src/newLeaseKeeper.js';
import newLeases from '../src/newLeases.js';

const TERM_MS = 3_000;
const SUBJECT = 'engines/detroit';
const log = { info: () => {}, warn: () => {}, error: () => {} };

/** The log that all hosts read; a host can be disconnected from it or have its writes delayed. */
const newClaimLog = () => {
  const records: LeaseClaim[] = [];
  return { records };
};

interface HostParts {
  name: string;
  clock: ManualClock;
  claims: { records: LeaseClaim[] };
}

const newHost = ({ name, clock, claims }: HostParts) => {
  const leases = newLeases(clock, TERM_MS);
  const stop = new AbortController();
  const delayed: LeaseClaim[] = [];
  let nextOffset = 0;
  let isDisconnected = false;
  let isDelayingWrites = false;
  let rank = 0;
  let checks = 0;
  const readAll = (): void => {
    if (isDisconnected) return;
    claims.records
      .slice(nextOffset)
      .forEach((claim, index) => leases.apply(claim, nextOffset + index));
    nextOffset = claims.records.length;
  };
  const write = async (claim: LeaseClaim): Promise<WriteOutcome> => {
    if (isDelayingWrites) {
      delayed.push(claim);
      return 'unknown';
    }
    if (isDisconnected) return 'not-written';
    claims.records.push(claim);
    return 'written';
  };
  const follow = async (): Promise<void> => {
    while (!stop.signal.aborted) {
      readAll();
      await clock.sleepUntil(clock.now() + 50, stop.signal);
    }
  };
  const keeper = newLeaseKeeper({
    clock,
    log,
    leases,
    subject: SUBJECT,
    host: name,
    incarnation: `${name}-run`,
    termMs: TERM_MS,
    write,
    rank: () => {
      checks += 1;
      return rank;
    },
    isFresh: () => !isDisconnected,
  });
  const running = Promise.all([follow(), keeper.run(stop.signal)]);
  return {
    keeper,
    setDisconnected: (value: boolean): void => {
      isDisconnected = value;
    },
    setRank: (value: number): void => {
      rank = value;
    },
    checks: (): number => checks,
    setWritesDelayed: (value: boolean): void => {
      isDelayingWrites = value;
    },
    appendDelayed: (): void => {
      claims.records.push(...delayed.splice(0));
    },
    stop: async (): Promise<void> => {
      stop.abort();
      await running;
    },
  };
};

const newHostPair = () => {
  const clock = newManualClock();
  const claims = newClaimLog();
  const first = newHost({ name: 'a', clock, claims });
  const second = newHost({ name: 'b', clock, claims });
  const holders = (): string[] =>
    [first, second].flatMap(({ keeper }, index) => (keeper.hold(0) ? [`${index}`] : []));
  return { clock, claims, first, second, holders };
};

test('of two hosts that claim at once one holds the lease, and keeps it', async (t) => {
  // Both hosts find the lease free at the same time and claim it; the first claim in the log wins.
  const { clock, holders, first, second } = newHostPair();
  await clock.advance(2_000);
  const [holder] = holders();
  t.is(holders().length, 1);
  await clock.advance(10_000);
  t.deepEqual(holders(), [holder]);
  await Promise.all([first.stop(), second.stop()]);
});

test('a holder that can not renew stops before another one starts', async (t) => {
  // The holder is partitioned from the store. Its term must end in its own view before it ends in
  // the other host's view. Otherwise engines would receive orders from two holders.
  const { clock, holders, first, second } = newHostPair();
  await clock.advance(2_000);
  const [disconnected, other] = holders()[0] === '0' ? [first, second] : [second, first];
  disconnected.setDisconnected(true);
  let maxHolders = 0;
  let isTaken = false;
  for (let passed = 0; passed < 6_000 && !isTaken; passed += 20) {
    await clock.advance(20);
    maxHolders = Math.max(maxHolders, holders().length);
    isTaken = other.keeper.hold(0) !== null;
  }
  t.true(isTaken);
  t.is(maxHolders, 1);
  t.is(disconnected.keeper.hold(0), null);
  await Promise.all([first.stop(), second.stop()]);
});

test('a claim that is appended after another host took over is void', async (t) => {
  // The holder's renewal is delayed until its term has ended and another host has taken the lease.
  // When it is appended after all, the first host must not hold the lease again.
  const { clock, holders, first, second } = newHostPair();
  await clock.advance(2_000);
  const [slow, other] = holders()[0] === '0' ? [first, second] : [second, first];
  slow.setWritesDelayed(true);
  for (let passed = 0; passed < 6_000 && !other.keeper.hold(0); passed += 50) {
    await clock.advance(50);
  }
  t.not(other.keeper.hold(0), null);
  slow.setWritesDelayed(false);
  slow.appendDelayed();
  await clock.advance(500);
  t.is(slow.keeper.hold(0), null);
  t.not(other.keeper.hold(0), null);
  await Promise.all([first.stop(), second.stop()]);
});

test('a host that resumes from suspension no longer holds its lease', async (t) => {
  // The monotonic clock stops while a machine is suspended, so the term appears to be still
  // running. Only the wall clock, which has advanced, shows the suspension.
  const { clock, holders, first, second } = newHostPair();
  await clock.advance(2_000);
  const keeper = holders()[0] === '0' ? first.keeper : second.keeper;
  clock.stepWallClock(4_000);
  t.is(keeper.hold(0), null);
  await Promise.all([first.stop(), second.stop()]);
});

test('a wall clock that is set back extends no lease', async (t) => {
  // The wall clock is set back while a host is partitioned from the store; its term must still end.
  const { clock, holders, first, second } = newHostPair();
  await clock.advance(2_000);
  const disconnected = holders()[0] === '0' ? first : second;
  disconnected.setDisconnected(true);
  clock.stepWallClock(-60_000);
  await clock.advance(TERM_MS);
  t.is(disconnected.keeper.hold(0), null);
  await Promise.all([first.stop(), second.stop()]);
});

test('a host does not take a lease back right after another one has had it', async (t) => {
  // Graceful shutdowns hand a lease back and forth. Hosts that alternate within one term cannot be
  // distinguished from two that hold the lease at the same time.
  const { clock, holders, first, second } = newHostPair();
  await clock.advance(2_000);
  const [leaving, other] = holders()[0] === '0' ? [first, second] : [second, first];
  const release = leaving.keeper.resign();
  await clock.advance(1_500);
  await release;
  t.not(other.keeper.hold(0), null);
  const leases = newLeases(clock, TERM_MS);
  const claim = (host: string, previous: number, number: number, isReleased = false) => ({
    type: 'lease' as const,
    subject: SUBJECT,
    host,
    incarnation: `${host}-run`,
    number,
    previous,
    isReleased,
  });
  leases.apply(claim('a', -1, 1), 0);
  leases.apply(claim('a', 0, 2, true), 1);
  leases.apply(claim('b', 1, 1), 2);
  leases.apply(claim('b', 2, 2, true), 3);
  t.false(leases.isFreeFor(SUBJECT, 'a', 300));
  t.true(leases.isFreeFor(SUBJECT, 'c', 300));
  await clock.advance(2 * TERM_MS + 100);
  t.true(leases.isFreeFor(SUBJECT, 'a', 300));
  await Promise.all([first.stop(), second.stop()]);
});

test('a host that many others precede checks a lease rarely, and still takes it over', async (t) => {
  // Guards against a fleet of hundreds of hosts that all spend their time on checks of each lease.
  const { clock, first, second } = newHostPair();
  second.setRank(20);
  await clock.advance(2_000);
  t.not(first.keeper.hold(0), null);
  const checksBefore = second.checks();
  await clock.advance(10_000);
  t.true(second.checks() - checksBefore <= 30);
  await first.stop();
  second.setRank(0);
  await clock.advance(5_000);
  t.not(second.keeper.hold(0), null);
  await second.stop();
});

test('a holder that others have come to precede renews its lease in time', async (t) => {
  // Guards against a lease that changes hands whenever hosts with a better rank join.
  const { clock, first, second } = newHostPair();
  second.setRank(20);
  await clock.advance(2_000);
  first.setRank(19);
  for (let passed = 0; passed < 10_000; passed += 100) {
    await clock.advance(100);
    t.not(first.keeper.hold(0), null);
  }
  await Promise.all([first.stop(), second.stop()]);
});
