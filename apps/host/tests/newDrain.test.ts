import { newManualClock } from '@cyclamengate/fakes/newManualClock';
import test from 'ava';
import newDeparture from '../src/newDeparture.js';
import newDrain from '../src/newDrain.js';

const SHUTDOWN_MS = 8_000;
const log = { info: () => {}, warn: () => {}, error: () => {} };

const newTestDrain = (leave: () => Promise<void>, openRequests = () => 0) => {
  const clock = newManualClock();
  const state = {
    idleClosedAt: [] as number[],
    closedAt: null as number | null,
    endedAt: null as number | null,
  };
  const startedAt = clock.now();
  const departure = newDeparture(clock, SHUTDOWN_MS);
  const drain = newDrain({
    clock,
    log,
    departure,
    openRequests,
    runningItems: () => 0,
    leave,
    closeIdle: () => state.idleClosedAt.push(clock.now() - startedAt),
    close: () => {
      state.closedAt = clock.now() - startedAt;
    },
  });
  drain().then(() => {
    state.endedAt = clock.now() - startedAt;
  });
  return { clock, departure, state };
};

test('a host whose peers do not answer its handover ends before it is killed', async (t) => {
  // Guards against hosts that are killed with open requests, since peers behind a partition are asked
  // one after the other for longer than the shutdown may take.
  const { clock, state } = newTestDrain(() => new Promise(() => {}));
  await clock.advance(SHUTDOWN_MS);
  t.true(state.closedAt !== null && state.closedAt < SHUTDOWN_MS - 500);
  t.true(state.endedAt !== null && state.endedAt < SHUTDOWN_MS);
});

test('a host that fails to hand its work over still finishes its open requests', async (t) => {
  // Guards against callers that lose their requests, since the host stops because what it hands over is
  // broken.
  let open = 1;
  const { clock, state } = newTestDrain(
    () => Promise.reject(new Error('broken')),
    () => open,
  );
  await clock.advance(5_000);
  t.is(state.endedAt, null);
  open = 0;
  await clock.advance(500);
  t.true(state.endedAt !== null);
});

test('a host that has nothing open ends as soon as no new connections come', async (t) => {
  const { clock, state } = newTestDrain(async () => {});
  await clock.advance(SHUTDOWN_MS);
  t.true(state.endedAt !== null && state.endedAt < 3_500);
});

test('open requests are waited for, until shortly before the kill', async (t) => {
  let open = 1;
  const { clock, state } = newTestDrain(
    async () => {},
    () => open,
  );
  await clock.advance(5_000);
  t.is(state.endedAt, null);
  open = 0;
  await clock.advance(500);
  t.true(state.endedAt !== null);
});

test('after its first seconds a stopping host takes only what is over before its end', async (t) => {
  // Guards against requests of kept connections that are taken just before the process ends, and lost.
  const { clock, departure } = newTestDrain(
    async () => {},
    () => 1,
  );
  const lookupMs = 1_500;
  const startedAt = clock.now();
  const canFinish = async (at: number, tookMs: number): Promise<boolean> => {
    await clock.advance(at - (clock.now() - startedAt));
    return departure.canFinish(clock.now() + tookMs);
  };
  t.true(await canFinish(2_500, 60_000));
  t.false(await canFinish(3_000, 60_000));
  t.true(await canFinish(5_700, lookupMs));
  t.false(await canFinish(6_000, lookupMs));
  t.true(await canFinish(6_500, 500));
  t.false(await canFinish(7_250, 100));
});

test('idle connections are closed once the load balancer opens no more, and from then on', async (t) => {
  // Guards against a connection that brings a request after seconds, to a host that is about to end.
  const { clock, state } = newTestDrain(
    async () => {},
    () => 1,
  );
  await clock.advance(SHUTDOWN_MS);
  t.true((state.idleClosedAt[0] ?? Infinity) <= 3_000);
  t.true(state.idleClosedAt.some((at) => at > 7_000));
});

test('a host with nothing open takes no more before it closes', async (t) => {
  // Guards against a request that arrives between the last look at open requests and the exit.
  const { clock, departure, state } = newTestDrain(async () => {});
  await clock.advance(3_100);
  t.not(state.closedAt, null);
  t.false(departure.canFinish(clock.now() + 1));
});

test('what waits is called back once it can not be over in time, and the rest shortly before the end', async (t) => {
  // Guards against requests that wait for a place until the process ends, and are lost though they never
  // ran: their callers could have gone to other hosts long before.
  const { clock, departure } = newTestDrain(
    async () => {},
    () => 1,
  );
  const startedAt = clock.now();
  const calls: [string, number][] = [];
  const note = (name: string) => () => calls.push([name, clock.now() - startedAt]);
  departure.onLate(startedAt + 60_000, note('long'));
  departure.onLate(startedAt + 5_000, note('short'));
  const remove = departure.onLate(startedAt + 60_000, note('begun'));
  departure.onEnd(note('open'));
  remove();
  await clock.advance(2_900);
  t.is(calls.length, 1);
  t.is(calls[0]?.[0], 'long');
  await clock.advance(SHUTDOWN_MS);
  t.is(calls.length, 2);
  const [name, at] = calls[1] ?? ['', 0];
  t.is(name, 'open');
  t.true(at > 7_000 && at < 7_300);
});
