import { newManualClock } from '@cyclamengate/fakes/newManualClock';
import test from 'ava';
import loadWeights from '../src/loadWeights.js';
import type { UpstreamEntry } from '../src/upstreamEntry.js';
import { getLoadedVersion } from '../src/upstreamEntry.js';
import WeightOrders from '../src/WeightOrders.js';
import type { WeightOrder, WeightOrderOutcome } from '../src/WeightOrders.js';
import { newEntry, silentLog } from './helpers.js';

/** Engines that carry out orders immediately, or late and without an answer. */
const newEngines = (entries: UpstreamEntry[]) => {
  const known = new Map(entries.map((entry) => [entry.id, entry]));
  const accepted = new Map<string, number>();
  const orders: WeightOrder[] = [];
  const late: WeightOrder[] = [];
  const faults = { late: 0, unreachable: '', broken: '' };

  const carryOut = ({ entry, model, version, afterOrders }: WeightOrder): WeightOrderOutcome => {
    const count = accepted.get(entry.id) ?? 0;
    if (afterOrders !== count) return 'conflict';
    accepted.set(entry.id, count + 1);
    const current = known.get(entry.id);
    if (current) known.set(entry.id, { ...current, models: [{ model, version }] });
    return 'accepted';
  };

  class FakeOrders extends WeightOrders {
    async countAccepted({ id }: UpstreamEntry): Promise<number | null> {
      if (id === faults.broken) throw new TypeError('Invalid URL');
      return id === faults.unreachable ? null : (accepted.get(id) ?? 0);
    }

    async place(order: WeightOrder): Promise<WeightOrderOutcome> {
      orders.push(order);
      if (faults.late === 0) return carryOut(order);
      faults.late -= 1;
      late.push(order);
      return 'unknown';
    }
  }
  return {
    orders,
    faults,
    port: new FakeOrders(),
    find: (id: string) => known.get(id),
    carryOutLate: (): void => late.splice(0).forEach(carryOut),
    version: (id: string): number => getLoadedVersion(known.get(id) as UpstreamEntry, 'x'),
  };
};

const startLoading = (ids: string[]) => {
  const clock = newManualClock();
  const engines = newEngines(
    ids.map((id) => newEntry(id, { models: [{ model: 'x', version: 1 }] })),
  );
  const state = { version: 2, token: 5 as number | null };
  const stop = new AbortController();
  const findDue = () =>
    ids
      .map((id) => engines.find(id) as UpstreamEntry)
      .filter((entry) => getLoadedVersion(entry, 'x') < state.version)
      .map((entry) => ({ entry, model: 'x', version: state.version, mustWaitForRuns: false }));
  const running = loadWeights(
    {
      clock,
      log: silentLog,
      host: 'a',
      orders: engines.port,
      getLease: () => (state.token === null ? null : { token: state.token }),
      findDue,
      findEngine: engines.find,
      maxConcurrentLoads: () => 1,
    },
    stop.signal,
  );
  const end = async (): Promise<void> => {
    stop.abort();
    await running;
  };
  return { clock, engines, state, end };
};

test('an order that is carried out seconds late does not restore an old version', async (t) => {
  // An engine leaves an order unanswered and would carry it out after a newer one. Its weights
  // would revert, and samples would be older than their trainer allows.
  const { clock, engines, state, end } = startLoading(['one']);
  engines.faults.late = 1;
  await clock.advance(300);
  state.version = 3;
  await clock.advance(4_000);
  t.is(engines.version('one'), 3);
  engines.carryOutLate();
  t.is(engines.version('one'), 3);
  await end();
});

test('no loads are ordered without the lease', async (t) => {
  // Another host holds the lease. If two hosts ordered loads, their orders would conflict.
  const { clock, engines, state, end } = startLoading(['one']);
  state.token = null;
  await clock.advance(3_000);
  t.is(engines.orders.length, 0);
  state.token = 9;
  await clock.advance(1_000);
  t.is(engines.orders[0]?.fencingToken, 9);
  await end();
});

test('engines load one at a time', async (t) => {
  const { clock, engines, end } = startLoading(['one', 'two', 'three']);
  await clock.advance(50);
  t.is(engines.orders.length, 1);
  await clock.advance(2_000);
  t.deepEqual(['one', 'two', 'three'].map(engines.version), [2, 2, 2]);
  await end();
});

test('an engine that answers no order does not take the turns of the others', async (t) => {
  // Guards against a domain whose engines keep old weights since one entry names an address at which
  // nothing listens.
  const { clock, engines, end } = startLoading(['e1', 'e2', 'e3']);
  engines.faults.unreachable = 'e2';
  await clock.advance(6_000);
  await end();
  t.deepEqual(['e1', 'e2', 'e3'].map(engines.version), [2, 1, 2]);
});

test('an order that breaks the code that places it costs its engine alone', async (t) => {
  // Guards against hosts that end by an error in an order, which nothing awaits.
  const { clock, engines, end } = startLoading(['e1', 'e2', 'e3']);
  engines.faults.broken = 'e2';
  await clock.advance(12_000);
  t.deepEqual(['e1', 'e2', 'e3'].map(engines.version), [2, 1, 2]);
  engines.faults.broken = '';
  await clock.advance(4_000);
  t.is(engines.version('e2'), 2);
  await end();
});
