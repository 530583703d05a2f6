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

/** A log that all hosts read; each can be cut off, and its writes can be held back. */
const newClaims = () => {
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
  const held: LeaseClaim[] = [];
  let readTo = 0;
  let isCut = false;
  let isHolding = false;
  const readAll = (): void => {
    if (isCut) return;
    claims.records.slice(readTo).forEach((claim, index) => leases.apply(claim, readTo + index));
    readTo = claims.records.length;
  };
  const write = async (claim: LeaseClaim): Promise<WriteOutcome> => {
    if (isHolding) {
      held.push(claim);
      return 'unknown';
    }
    if (isCut) return 'not-written';
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
    rank: () => 0,
    isFresh: () => !isCut,
  });
  const running = Promise.all([follow(), keeper.run(stop.signal)]);
  return {
    keeper,
    setCut: (value: boolean): void => {
      isCut = value;
    },
    holdWrites: (value: boolean): void => {
      isHolding = value;
    },
    landHeld: (): void => {
      claims.records.push(...held.splice(0));
    },
    stop: async (): Promise<void> => {
      stop.abort();
      await running;
    },
  };
};

const newPair = () => {
  const clock = newManualClock();
  const claims = newClaims();
  const first = newHost({ name: 'a', clock, claims });
  const second = newHost({ name: 'b', clock, claims });
  const holders = (): string[] =>
    [first, second].flatMap(({ keeper }, index) => (keeper.hold(0) ? [`${index}`] : []));
  return { clock, claims, first, second, holders };
};

test('of two hosts that claim at once one holds the lease, and keeps it', async (t) => {
  // Both find the lease free in the same moment; the log's order decides.
  const { clock, holders, first, second } = newPair();
  await clock.advance(2_000);
  const [holder] = holders();
  t.is(holders().length, 1);
  await clock.advance(10_000);
  t.deepEqual(holders(), [holder]);
  await Promise.all([first.stop(), second.stop()]);
});

test('a holder that can not renew stops before another one starts', async (t) => {
  // The holder is cut off from the store. Its own term must be over before the other host's view of
  // it is, or engines would get orders from two hosts that each believe they are in charge.
  const { clock, holders, first, second } = newPair();
  await clock.advance(2_000);
  const [cut, other] = holders()[0] === '0' ? [first, second] : [second, first];
  cut.setCut(true);
  let most = 0;
  let isTaken = false;
  for (let passed = 0; passed < 6_000 && !isTaken; passed += 20) {
    await clock.advance(20);
    most = Math.max(most, holders().length);
    isTaken = other.keeper.hold(0) !== null;
  }
  t.true(isTaken);
  t.is(most, 1);
  t.is(cut.keeper.hold(0), null);
  await Promise.all([first.stop(), second.stop()]);
});

test('a claim that lands after another host took over gives nothing', async (t) => {
  // The holder's renewal hangs on its way to the store while its term runs out; another host takes
  // the lease; then the renewal lands. The first host must not believe in it.
  const { clock, holders, first, second } = newPair();
  await clock.advance(2_000);
  const [slow, other] = holders()[0] === '0' ? [first, second] : [second, first];
  slow.holdWrites(true);
  for (let passed = 0; passed < 6_000 && !other.keeper.hold(0); passed += 50) {
    await clock.advance(50);
  }
  t.not(other.keeper.hold(0), null);
  slow.holdWrites(false);
  slow.landHeld();
  await clock.advance(500);
  t.is(slow.keeper.hold(0), null);
  t.not(other.keeper.hold(0), null);
  await Promise.all([first.stop(), second.stop()]);
});

test('a machine that was suspended does not believe in its lease when it wakes', async (t) => {
  // The monotonic clock stands still while a machine is suspended, so the term seems to run on. The
  // wall clock has gone ahead, which shows what happened.
  const { clock, holders, first, second } = newPair();
  await clock.advance(2_000);
  const keeper = holders()[0] === '0' ? first.keeper : second.keeper;
  clock.stepWall(4_000);
  t.is(keeper.hold(0), null);
  await Promise.all([first.stop(), second.stop()]);
});

test('a wall clock that is set back extends no lease', async (t) => {
  // The time of day is corrected while a host is cut off; its term must still end.
  const { clock, holders, first, second } = newPair();
  await clock.advance(2_000);
  const cut = holders()[0] === '0' ? first : second;
  cut.setCut(true);
  clock.stepWall(-60_000);
  await clock.advance(TERM_MS);
  t.is(cut.keeper.hold(0), null);
  await Promise.all([first.stop(), second.stop()]);
});

test('a host does not take a lease back right after another one has had it', async (t) => {
  // The lease is handed to and fro by graceful shutdowns. Holders that take turns within one term
  // can not be told from two that act at the same time.
  const { clock, holders, first, second } = newPair();
  await clock.advance(2_000);
  const [leaving, other] = holders()[0] === '0' ? [first, second] : [second, first];
  const handing = leaving.keeper.resign();
  await clock.advance(1_500);
  await handing;
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
