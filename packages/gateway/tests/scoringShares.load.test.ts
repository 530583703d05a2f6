import { newManualClock } from '@cyclamengate/fakes/newManualClock';
import test from 'ava';
import { newPlainHosts, SLOTS } from './newPlainHosts.js';

type System = ReturnType<typeof newPlainHosts>;
type Host = ReturnType<System['newHost']>;

const UPSTREAMS = 4;
const PLACES = UPSTREAMS * SLOTS;

/** Starts scoring calls and counts how many have ended. */
const startScores = (host: Host, count: number, workMs = 40, acceptedAt = 0) => {
  const state = { ended: 0 };
  const all = Promise.all(
    Array.from({ length: count }, async () => {
      const { ok } = await host.score({ customer: 'trainer', workMs, acceptedAt });
      state.ended += 1;
      return ok;
    }),
  );
  return { state, all };
};

const countRunning = (host: Host): number =>
  Object.values(host.loads.countAllLocal()).reduce((sum, count) => sum + count, 0);

test('hosts with scoring calls share the places by demand', async (t) => {
  // Guards against the host that comes first keeping all places.
  const clock = newManualClock();
  const system = newPlainHosts(clock, UPSTREAMS);
  const [large, small] = [system.newHost('a'), system.newHost('b')];
  const largeScores = startScores(large, 300);
  await clock.advance(100);
  const smallScores = startScores(small, 100);
  [large, small].forEach(({ beat }) => beat());
  await clock.advance(300);
  t.true(countRunning(small) >= 3, `${countRunning(large)} ${countRunning(small)}`);
  t.true(countRunning(large) > countRunning(small));
  t.true(system.countRunning() <= PLACES);
  await clock.advance(3_000);
  t.true([...(await largeScores.all), ...(await smallScores.all)].every(Boolean));
});

test('scoring calls of the older batch start first', async (t) => {
  const clock = newManualClock();
  const host = newPlainHosts(clock, 1).newHost('a');
  const newer = startScores(host, 60, 40, 2_000);
  await clock.advance(10);
  const older = startScores(host, 40, 40, 1_000);
  await clock.advance(400);
  t.is(older.state.ended, 40);
  t.true(newer.state.ended < 30);
  await clock.advance(1_000);
  await Promise.all([newer.all, older.all]);
});

test('without heartbeats hosts keep to what they see of the loads', async (t) => {
  // Guards against several hosts that each take all places while the store is away.
  const clock = newManualClock();
  const system = newPlainHosts(clock, UPSTREAMS);
  const hosts = ['a', 'b', 'c'].map(system.newHost);
  const scores = hosts.map((host) => startScores(host, 100));
  await clock.advance(200);
  t.true(system.countWaiting() <= PLACES / 2, String(system.countWaiting()));
  t.true(scores.every(({ state }) => state.ended >= 10));
  await clock.advance(4_000);
  t.true((await Promise.all(scores.map(({ all }) => all))).flat().every(Boolean));
});

test('a host that dies while others count its demand leaves its places', async (t) => {
  // Guards against places that are kept for a host which no longer exists.
  const clock = newManualClock();
  const system = newPlainHosts(clock, UPSTREAMS);
  const [dying, staying] = [system.newHost('a'), system.newHost('b')];
  const lost = startScores(dying, 40, 20);
  dying.beat();
  await clock.advance(200);
  await lost.all;
  const scores = startScores(staying, 400);
  await clock.advance(1_000);
  // Its last heartbeat still counts: places beyond the share are taken one by one.
  t.true(countRunning(staying) >= PLACES / 2 - 1, String(countRunning(staying)));
  system.forget('a');
  await clock.advance(100);
  t.true(countRunning(staying) >= PLACES - UPSTREAMS * 2 - 1, String(countRunning(staying)));
  await clock.advance(3_000);
  t.true((await scores.all).every(Boolean));
});

test('a host in a failure domain that is cut off uses the upstreams that it reaches', async (t) => {
  // Guards against a host that waits for places it cannot reach, or that no one else uses.
  const clock = newManualClock();
  const system = newPlainHosts(clock, UPSTREAMS);
  const [host, other] = [system.newHost('a'), system.newHost('b')];
  other.beat();
  system.forget('b');
  ['u2', 'u3'].forEach((id) => {
    for (let failures = 0; failures < 12; failures += 1) host.health.recordFailure(id, 'no route');
  });
  const scores = startScores(host, 60);
  const calls = Array.from({ length: 6 }, () => host.call({ customer: 'museum', workMs: 25 }));
  await clock.advance(80);
  t.true((await Promise.all(calls)).every(({ outcome }) => outcome.type === 'answer'));
  const load = host.loads.countAllLocal();
  t.true((load.u0 ?? 0) + (load.u1 ?? 0) >= SLOTS);
  await clock.advance(3_000);
  t.true((await scores.all).every(Boolean));
});
