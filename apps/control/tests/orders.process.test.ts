import { setTimeout as sleep } from 'node:timers/promises';
import newSystem from '@cyclamengate/fakes/newSystem';
import { waitUntil } from '@cyclamengate/fakes/newProcesses';
import test from 'ava';

type System = Awaited<ReturnType<typeof newSystem>>;

const SUSPENSION_MS = 9_000;

const countActiveUpstreams = (system: System, service: string): number =>
  system.platform.fleet
    .statuses()
    .filter((status) => status.service === service && status.state !== 'leaving').length;

/** Whether the fencing tokens of the orders of each failure domain never decrease. */
const areFencesNonDecreasing = (
  orders: readonly { failureDomain: string; fence: number }[],
): boolean => {
  const highestFences = new Map<string, number>();
  return orders.every(({ failureDomain, fence }) => {
    const isNotLower = fence >= (highestFences.get(failureDomain) ?? -1);
    highestFences.set(failureDomain, Math.max(fence, highestFences.get(failureDomain) ?? -1));
    return isNotLower;
  });
};

/** The minimum number of upstreams that the example settings demand, by service. */
const MIN_UPSTREAMS = { 'tone-assistant': 6, 'client-desk': 3, 'tone-scoring': 1 };

/** Kills the first control process during its first orders and starts another one to take over. */
const killControlWhileOrdering = async (system: System): Promise<void> => {
  const startup = system.publishExampleAndWait();
  await waitUntil('orders', async () => system.platform.fleet.received().length >= 3);
  system.control.child.kill('SIGKILL');
  await system.startDaemon('control', 'control-2', 1);
  await startup;
  await waitUntil('all upstreams are running', async () =>
    Object.entries(MIN_UPSTREAMS).every(
      ([service, count]) => countActiveUpstreams(system, service) >= count,
    ),
  );
  await sleep(2_500);
};

// Guards against orders from two processes that both believe they hold the lease: the ordering process
// is suspended for longer than its lease, another one takes over, and the first one resumes in the
// middle of its work.
test.serial(
  'a control process suspended for longer than its lease orders nothing when it resumes',
  async (t) => {
    const system = await newSystem(1);
    t.teardown(system.stop);
    await system.publishExampleAndWait();
    const second = await system.startDaemon('control', 'control-2', 1);
    system.control.child.kill('SIGSTOP');
    await sleep(SUSPENSION_MS);
    const yaml = await system.replaceInExample(
      'minUpstreams: 1, maxUpstreams: 3',
      'minUpstreams: 2, maxUpstreams: 3',
    );
    const published = await system.publish(yaml);
    t.regex(published.text, /"accepted":true/);
    await waitUntil(
      'the successor orders',
      async () => countActiveUpstreams(system, 'tone-assistant') >= 12,
    );
    system.control.child.kill('SIGCONT');
    await sleep(3_000);
    t.true(areFencesNonDecreasing(system.platform.fleet.received()));
    t.is(countActiveUpstreams(system, 'tone-assistant'), 12);
    t.is(second.child.exitCode, null);
  },
);

// Guards against retries that order one more upstream each time, which grows the bill: the answers of
// the order interface are lost after the orders took effect.
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
  await system.publishExampleAndWait();
  await sleep(3_000);
  Object.entries(MIN_UPSTREAMS).forEach(([service, count]) =>
    t.is(countActiveUpstreams(system, service), count, service),
  );
  t.is(system.platform.fleet.started(), system.platform.fleet.statuses().length);
});

// Guards against missing or surplus upstreams when the ordering process is killed during its first
// orders and another one takes over.
test.serial(
  'the successor of a killed control process ends with exactly the wanted upstreams',
  async (t) => {
    const system = await newSystem(1);
    t.teardown(system.stop);
    await killControlWhileOrdering(system);
    t.is(countActiveUpstreams(system, 'tone-assistant'), 6);
    t.true(areFencesNonDecreasing(system.platform.fleet.received()));
  },
);

// Guards against missing or surplus upstreams when the order interface loses its answers and the
// ordering process is killed before it has received one.
test.serial(
  'orders with lost answers and a killed control process end with the wanted upstreams',
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
    await killControlWhileOrdering(system);
    t.is(countActiveUpstreams(system, 'tone-assistant'), 6);
    t.is(countActiveUpstreams(system, 'client-desk'), 3);
    t.true(areFencesNonDecreasing(system.platform.fleet.received()));
  },
);
