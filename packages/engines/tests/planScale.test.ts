import { newManualClock } from '@cyclamengate/fakes/newManualClock';
import test from 'ava';
import newPeak from '../src/newPeak.js';
import planScale from '../src/planScale.js';
import scaleUpstreams from '../src/scaleUpstreams.js';
import type { UpstreamEntry } from '../src/upstreamEntry.js';
import UpstreamOrders from '../src/UpstreamOrders.js';
import type { OrderOutcome, ScaleOrder } from '../src/UpstreamOrders.js';
import { newEntry, silentLog } from './helpers.js';

const BOUNDS = { least: 1, most: 4 };

test('there is a slot for every item of the peak, beyond the ordinary engines at the lower price', (t) => {
  // Three trainers send 90 items at once to six engines of eight slots. The last third would wait
  // for a slot, and each step would end as much later.
  const own = [newEntry('a'), newEntry('b')];
  t.deepEqual(planScale(90, 3, own, BOUNDS, true), { ordinary: 2, spot: 2 });
});

test('while none is to be had at the lower price the ordinary one is paid', (t) => {
  const own = [newEntry('a')];
  t.deepEqual(planScale(60, 3, own, BOUNDS, false), { ordinary: 3, spot: 0 });
});

test('without load nothing is ordered beyond what is there', (t) => {
  const own = [newEntry('a'), newEntry('b', { isSpot: true })];
  t.deepEqual(planScale(0, 3, own, BOUNDS, true), { ordinary: 1, spot: 0 });
});

test('the bounds of the settings hold', (t) => {
  t.deepEqual(planScale(9_000, 3, [newEntry('a')], BOUNDS, true), { ordinary: 1, spot: 3 });
});

test('the peak of the last steps counts, not the lull between two', async (t) => {
  const clock = newManualClock();
  const peak = newPeak(clock, 20_000);
  peak.note(90);
  await clock.advance(4_000);
  peak.note(3);
  t.is(peak.read(), 90);
  await clock.advance(17_000);
  t.is(peak.read(), 3);
});

const newParts = (entries: UpstreamEntry[]) => {
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
      hold: () => (state.isHeld ? { token: 4 } : null),
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

test('an order is given once, and again only when nothing comes of it', async (t) => {
  const { clock, placed, end } = newParts([newEntry('a')]);
  await clock.advance(7_000);
  t.deepEqual(
    placed.map(({ wanted, isSpot }) => [wanted, isSpot]),
    [[3, true]],
  );
  await clock.advance(2_000);
  t.is(placed.length, 2);
  await end();
});

test('a reclaimed kind is left alone for a while, and the ordinary one ordered', async (t) => {
  // The platform has taken back all engines of a failure domain at the lower price and has no more.
  const { clock, placed, state, end } = newParts([newEntry('a')]);
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

test('without the lease nothing is ordered', async (t) => {
  const { clock, placed, state, end } = newParts([newEntry('a')]);
  state.isHeld = false;
  await clock.advance(3_000);
  t.is(placed.filter(({ fencingToken }) => fencingToken === 4).length, placed.length);
  t.true(placed.length <= 1);
  await end();
});
