import { newManualClock } from '@cyclamengate/fakes/newManualClock';
import test from 'ava';
import computeHoldMs from '../src/computeHoldMs.js';
import newCrashHistory from '../src/newCrashHistory.js';
import type { UpstreamCrash } from '../src/upstreamCrash.js';

const newHistory = (clock = newManualClock()) => {
  const history = newCrashHistory(clock);
  const newCrash = (upstream: string, digest = 'deadly'): UpstreamCrash => ({
    digest,
    upstream,
    endedAt: clock.wallTime(),
    weight: 1,
    work: 'call' as const,
  });
  /** Time until the request may run; 0 if it starts now. */
  const startIn = (digest = 'deadly'): number => {
    const retryAt = history.start(digest);
    return retryAt === null ? 0 : retryAt - clock.now();
  };
  return { clock, history, newCrash, startIn };
};

test('a request is retried once after its first crash and held longer after each further one', (t) => {
  // Guards against a request that ends upstreams as long as its caller sends it.
  t.deepEqual([0, 1, 2, 3, 4, 5].map(computeHoldMs), [0, 0, 1_000, 5_000, 25_000, 125_000]);
  const { history, newCrash, startIn } = newHistory();
  t.is(startIn(), 0);
  history.add(newCrash('a@1'));
  t.is(startIn(), 0);
  history.add(newCrash('b@1'));
  t.is(startIn(), 1_000);
  history.add(newCrash('a@2'));
  t.is(startIn(), 5_000);
});

test('a crash that several hosts report counts once', (t) => {
  const { history, newCrash, startIn } = newHistory();
  history.add(newCrash('a@1'));
  t.false(history.merge(newCrash('a@1')));
  t.is(startIn(), 0);
  t.true(history.merge(newCrash('b@1')));
  t.is(startIn(), 1_000);
});

test('after a hold one run is tried at a time', async (t) => {
  // Guards against copies of a held request that all start when the hold ends.
  const { clock, history, newCrash, startIn } = newHistory();
  history.add(newCrash('a@1'));
  history.add(newCrash('b@1'));
  await clock.advance(1_000);
  t.is(startIn(), 0);
  t.is(startIn(), 1_000);
  history.cancelStart('deadly');
  t.is(startIn(), 0);
});

test('a request that is answered is forgotten, and others are not', (t) => {
  const { history, newCrash, startIn } = newHistory();
  const answered: UpstreamCrash[][] = [];
  history.onAnswered((crashes) => answered.push(crashes));
  const crashes = [newCrash('a@1'), newCrash('b@1')];
  crashes.forEach(history.add);
  [newCrash('a@1', 'other'), newCrash('b@1', 'other')].forEach(history.add);
  history.recordAnswer('deadly');
  history.recordAnswer('unknown');
  t.is(startIn(), 0);
  t.is(startIn('other'), 1_000);
  t.deepEqual(answered, [crashes]);
});

test('a clock that is ahead or behind on the host that saw a crash extends no hold', (t) => {
  const { clock, history, newCrash, startIn } = newHistory();
  history.merge({ ...newCrash('a@1'), endedAt: clock.wallTime() + 60_000 });
  history.merge({ ...newCrash('b@1'), endedAt: clock.wallTime() + 60_000 });
  t.is(startIn(), 1_000);
  history.merge({ ...newCrash('a@1', 'old'), endedAt: clock.wallTime() - 400 });
  history.merge({ ...newCrash('b@1', 'old'), endedAt: clock.wallTime() - 400 });
  t.is(startIn('old'), 600);
});

test('crashes are kept for a quarter of an hour and for a bounded number of requests', async (t) => {
  const { clock, history, newCrash } = newHistory();
  history.add(newCrash('a@1'));
  await clock.advance(899_000);
  history.forgetExpired();
  t.is(history.size(), 1);
  await clock.advance(1_000);
  history.forgetExpired();
  t.is(history.size(), 0);
  t.true(history.isExpired({ ...newCrash('a@1'), endedAt: clock.wallTime() - 900_000 }));
  t.false(history.isExpired(newCrash('a@1')));
  t.false(history.merge({ ...newCrash('a@1'), endedAt: clock.wallTime() - 900_000 }));
  for (let index = 0; index < 3_000; index += 1) history.add(newCrash('a@1', `request-${index}`));
  t.true(history.size() <= 1_024);
  t.is(history.newest(5).length, 5);
  t.is(history.newest(1)[0]?.digest, 'request-2999');
});

test('a request that ended six upstreams is not tried again while that is remembered', async (t) => {
  const { clock, history, newCrash, startIn } = newHistory();
  for (let index = 0; index < 6; index += 1) history.add(newCrash(`a@${index}`));
  t.is(startIn(), 900_000);
  await clock.advance(899_999);
  t.is(startIn(), 1);
});

test('crashes count by their weight, and one that is reported twice by the greater one', (t) => {
  const { history, newCrash, startIn } = newHistory();
  const newLight = (upstream: string): UpstreamCrash => ({ ...newCrash(upstream), weight: 0.5 });
  ['a@1', 'b@1', 'c@1'].map(newLight).forEach(history.add);
  t.is(startIn(), 0);
  t.true(history.merge(newCrash('a@1')));
  t.false(history.merge(newLight('a@1')));
  t.is(startIn(), 1_000);
  t.is(history.crashesOf('deadly').length, 3);
});
