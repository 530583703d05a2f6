import { newManualClock } from '@cyclamengate/fakes/newManualClock';
import test from 'ava';
import newSlidingMaximum from '../src/newSlidingMaximum.js';
import planScale from '../src/planScale.js';
import scaleUpstreams from '../src/scaleUpstreams.js';
import type { UpstreamEntry } from '../src/upstreamEntry.js';
import UpstreamOrders from '../src/UpstreamOrders.js';
import type { OrderOutcome, ScaleOrder } from '../src/UpstreamOrders.js';
import { newEntry, silentLog } from './helpers.js';

const BOUNDS = { minUpstreams: 1, maxUpstreams: 4 };

test('every item of the peak gets a slot, on spot engines beyond the ordinary ones', (t) => {
  // Three trainers send 90 items at once to six engines of eight slots. The rest would wait for a
  // slot, which would delay each step.
  const own = [newEntry('a'), newEntry('b')];
  t.deepEqual(planScale(90, 3, own, BOUNDS, true), { ordinary: 2, spot: 2 });
});

test('ordinary upstreams are ordered while no spot upstreams are available', (t) => {
  const own = [newEntry('a')];
  t.deepEqual(planScale(60, 3, own, BOUNDS, false), { ordinary: 3, spot: 0 });
});

test('without load no further upstreams are ordered', (t) => {
  const own = [newEntry('a'), newEntry('b', { isSpot: true })];
  t.deepEqual(planScale(0, 3, own, BOUNDS, true), { ordinary: 1, spot: 0 });
});

test('the number of upstreams stays within the bounds of the settings', (t) => {
  t.deepEqual(planScale(9_000, 3, [newEntry('a')], BOUNDS, true), { ordinary: 1, spot: 3 });
});

test('the maximum spans several steps and the pauses between them', async (t) => {
  const clock = newManualClock();
  const peak = newSlidingMaximum(clock, 20_000);
  peak.add(90);
  await clock.advance(4_000);
  peak.add(3);
  t.is(peak.read(), 90);
  await clock.advance(17_000);
  t.is(peak.read(), 3);
});

const startScaling = (entries: UpstreamEntry[]) => {
  const clock = newManualClock();
  const placed: ScaleOrder[] = [];
  const state = { outcome: 'taken' as OrderOutcome, isHeld: true };

  class FakeOrders extends UpstreamOrders {
    async place(order: ScaleOrder): Promise<OrderOutcome> {
      placed.push(order);
      return order.isSpot ? state.outcome : 'taken';
    }
  }
  const stop = new AbortController();
  const running = scaleUpstreams(
    {
      clock,
      log: silentLog,
      host: 'a',
      failureDomain: 'detroit',
      orders: new FakeOrders(),
      getLease: () => (state.isHeld ? { token: 4 } : null),
      services: () => [{ service: 'models', bounds: BOUNDS, bootMs: 4_000 }],
      entries: () => entries,
      openItems: () => 30,
    },
    stop.signal,
  );
  const end = async (): Promise<void> => {
    stop.abort();
    await running;
  };
  return { clock, placed, state, end };
};

test('an order is placed once, and repeated only if it has no effect', async (t) => {
  const { clock, placed, end } = startScaling([newEntry('a')]);
  await clock.advance(7_000);
  t.deepEqual(
    placed.map(({ wanted, isSpot }) => [wanted, isSpot]),
    [[3, true]],
  );
  await clock.advance(2_000);
  t.is(placed.length, 2);
  await end();
});

test('after spot upstreams are reclaimed, ordinary ones are ordered for a while', async (t) => {
  // The platform has reclaimed all spot engines of a failure domain and has no more available.
  const { clock, placed, state, end } = startScaling([newEntry('a')]);
  state.outcome = 'none-available';
  await clock.advance(2_000);
  t.deepEqual(
    placed.map(({ wanted, isSpot }) => [wanted, isSpot]),
    [
      [3, true],
      [4, false],
    ],
  );
  await end();
});

test('no upstreams are ordered without the lease', async (t) => {
  const { clock, placed, state, end } = startScaling([newEntry('a')]);
  state.isHeld = false;
  await clock.advance(3_000);
  t.is(placed.filter(({ fencingToken }) => fencingToken === 4).length, placed.length);
  t.true(placed.length <= 1);
  await end();
});
