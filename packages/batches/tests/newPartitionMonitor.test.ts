import { newManualClock } from '@cyclamengate/fakes/newManualClock';
import test from 'ava';
import newPartitionMonitor from '../src/newPartitionMonitor.js';
import type { StoreReachability } from '../src/peerRouter.js';
import { silentLog } from './helpers.js';

/** Creates a host that runs items and whose view is refreshed while it reaches the store. */
const newHost = () => {
  const clock = newManualClock();
  const state = {
    isReached: true,
    others: 'steady' as StoreReachability,
    freshAt: clock.now(),
    handovers: 0,
    openItems: 5,
  };
  const end = new AbortController();
  const monitor = newPartitionMonitor({
    clock,
    log: silentLog,
    freshAt: () => {
      if (state.isReached) state.freshAt = clock.now();
      return state.freshAt;
    },
    probePeers: async () => state.others,
  });
  const leave = async (): Promise<boolean> => {
    state.handovers += 1;
    return true;
  };
  const running = monitor.run({ openItems: () => state.openItems, leave }, end.signal);
  const close = async (): Promise<void> => {
    end.abort();
    await clock.advance(300);
    await running;
  };
  return { clock, state, monitor, close };
};

test('a host that alone is partitioned from the store hands its batches over', async (t) => {
  // The store rejects one host for nine seconds. Its results cannot be listed, and another host
  // would generate its step again at the same time.
  const { clock, state, close } = newHost();
  await clock.advance(3_000);
  t.is(state.handovers, 0);
  state.isReached = false;
  await clock.advance(1_500);
  t.is(state.handovers, 1);
  await close();
});

test('while no host reaches the store each host keeps its batches', async (t) => {
  const { clock, state, monitor, close } = newHost();
  state.isReached = false;
  state.others = 'none';
  await clock.advance(5_000);
  t.is(state.handovers, 0);
  t.false(monitor.isPartitioned());
  await close();
});

test('a partitioned host without items announces once that it is leaving', async (t) => {
  // Steps of its models are sent to other hosts, which would wait for it until its heartbeat
  // expires.
  const { clock, state, close } = newHost();
  state.openItems = 0;
  state.isReached = false;
  await clock.advance(6_000);
  t.is(state.handovers, 1);
  state.isReached = true;
  await clock.advance(500);
  state.isReached = false;
  await clock.advance(2_000);
  t.is(state.handovers, 2, 'and again after a second partition');
  await close();
});

test('a host whose batches no host takes still knows that others read the store', async (t) => {
  // The store rejects one host whose batch has just ended: the others have read the end, so none
  // takes the batch over, while the host itself cannot read it. If it assumed a general outage, in
  // which no host can end a batch, it would continue to run unwanted items.
  const { clock, state, monitor, close } = newHost();
  await clock.advance(1_000);
  state.isReached = false;
  t.false(monitor.isPartitioned());
  await clock.advance(1_700);
  t.true(monitor.isPartitioned());
  state.isReached = true;
  await clock.advance(300);
  t.false(monitor.isPartitioned(), 'it has read the store since');
  await close();
});

test('peers that have just resumed reading cause no handover, but prevent new starts', async (t) => {
  // After a general outage, calls of some hosts hang a little longer than those of others.
  const { clock, state, monitor, close } = newHost();
  state.isReached = false;
  state.others = 'new';
  await clock.advance(1_700);
  t.is(state.handovers, 0);
  t.true(monitor.isPartitioned());
  await close();
});
