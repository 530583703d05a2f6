import { setTimeout as sleep } from 'node:timers/promises';
import newSystem from '@cyclamengate/fakes/newSystem';
import { waitUntil } from '@cyclamengate/fakes/newProcesses';
import test from 'ava';

type System = Awaited<ReturnType<typeof newSystem>>;

const FREEZE_MS = 9_000;

const countOf = (system: System, service: string): number =>
  system.platform.fleet
    .statuses()
    .filter((status) => status.service === service && status.state !== 'leaving').length;

/** Whether every order came under a fence at least as high as all before it, in its domain. */
const isInOrder = (orders: readonly { failureDomain: string; fence: number }[]): boolean => {
  const highest = new Map<string, number>();
  return orders.every(({ failureDomain, fence }) => {
    const isHigher = fence >= (highest.get(failureDomain) ?? -1);
    highest.set(failureDomain, Math.max(fence, highest.get(failureDomain) ?? -1));
    return isHigher;
  });
};

/** What the example settings want at least, by service. */
const WANTED = { 'tone-assistant': 6, 'client-desk': 3, 'tone-scoring': 1 };

/** Begins with a control process that is killed in its first orders, and lets another one go on. */
const killControlAmidOrders = async (system: System): Promise<void> => {
  const beginning = system.begin();
  await waitUntil('orders', async () => system.platform.fleet.received().length >= 3);
  system.control.child.kill('SIGKILL');
  await system.startOne('control', 'control-2', 1);
  await beginning;
  await waitUntil('all are there', async () =>
    Object.entries(WANTED).every(([service, count]) => countOf(system, service) >= count),
  );
  await sleep(2_500);
};

// The process that orders upstreams is stopped by its machine for longer than its lease, another one
// takes over, and then the first one goes on in the middle of what it was doing. The platform would
// get orders from two processes that each believe they are in charge.
test.serial(
  'a control process that was frozen beyond its lease orders nothing when it resumes',
  async (t) => {
    const system = await newSystem(1);
    t.teardown(system.stop);
    await system.begin();
    const second = await system.startOne('control', 'control-2', 1);
    system.control.child.kill('SIGSTOP');
    await sleep(FREEZE_MS);
    const yaml = await system.exampleWith(
      'minUpstreams: 1, maxUpstreams: 3',
      'minUpstreams: 2, maxUpstreams: 3',
    );
    const published = await system.publish(yaml);
    t.regex(published.text, /"accepted":true/);
    await waitUntil('the successor orders', async () => countOf(system, 'tone-assistant') >= 12);
    system.control.child.kill('SIGCONT');
    await sleep(3_000);
    t.true(isInOrder(system.platform.fleet.received()));
    t.is(countOf(system, 'tone-assistant'), 12);
    t.is(second.child.exitCode, null);
  },
);

// Every answer of the order interface is lost after the order took effect. The naive way orders one
// more upstream each time and the bill grows.
test.serial('orders whose answers are lost start no upstream twice', async (t) => {
  const system = await newSystem(1);
  t.teardown(system.stop);
  system.platform.faults.set({
    target: 'orders',
    fault: 'lose-answer',
    isOn: true,
    times: 6,
    delayMs: 0,
  });
  await system.begin();
  await sleep(3_000);
  Object.entries(WANTED).forEach(([service, count]) =>
    t.is(countOf(system, service), count, service),
  );
  t.is(system.platform.fleet.started(), system.platform.fleet.statuses().length);
});

// The process that orders upstreams is killed in the middle of its first orders.
test.serial(
  'a successor of a killed control process ends with what is wanted, no more',
  async (t) => {
    const system = await newSystem(1);
    t.teardown(system.stop);
    await killControlAmidOrders(system);
    t.is(countOf(system, 'tone-assistant'), 6);
    t.true(isInOrder(system.platform.fleet.received()));
  },
);

// The order interface loses its answers, and the process that gets none is killed in between.
test.serial(
  'orders with lost answers and a killed control process end with what is wanted',
  async (t) => {
    const system = await newSystem(1);
    t.teardown(system.stop);
    system.platform.faults.set({
      target: 'orders',
      fault: 'lose-answer',
      isOn: true,
      times: 10,
      delayMs: 0,
    });
    await killControlAmidOrders(system);
    t.is(countOf(system, 'tone-assistant'), 6);
    t.is(countOf(system, 'client-desk'), 3);
    t.true(isInOrder(system.platform.fleet.received()));
  },
);
