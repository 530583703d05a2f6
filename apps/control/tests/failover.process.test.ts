import { setTimeout as sleep } from 'node:timers/promises';
import newSystem from '@cyclamengate/fakes/newSystem';
import { isWhole, keyOf, post } from '@cyclamengate/fakes/callers';
import { waitUntil } from '@cyclamengate/fakes/newProcesses';
import test from 'ava';
import { request } from 'undici';

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

// The log is out for longer than leases and windows last. Callers must notice nothing.
test.serial(
  'through an outage of the log entries go on serving and usage is billed right afterwards',
  async (t) => {
    const system = await newSystem(2);
    t.teardown(system.stop);
    await system.begin();
    const [one, two] = system.entries;
    system.platform.faults.set({ target: 'log', fault: 'down', isOn: true, times: -1, delayMs: 0 });
    let tokens = 0;
    for (let count = 0; count < 40; count += 1) {
      const answer = await system.complete(count % 2 === 0 ? one! : two!, 'booking', {
        max_tokens: 7,
      });
      t.true(isWhole(answer));
      tokens += 7;
      await sleep(200);
    }
    const refused = await post(
      `${one!.url}/v1/services/deposits/book`,
      'ledger',
      {},
      { 'idempotency-key': 'a' },
    );
    t.is(refused.status, 503);
    t.regex(refused.text, /"outcome":"not-run"/);
    system.platform.faults.set({
      target: 'log',
      fault: 'down',
      isOn: false,
      times: -1,
      delayMs: 0,
    });
    const billed = (): number =>
      [
        ...new Map(
          system.platform.reports.received().map((report) => [report.window, report]),
        ).values(),
      ].reduce((sum, { figures }) => sum + (figures.booking?.outputTokens ?? 0), 0);
    await waitUntil('all is billed', async () => billed() >= tokens);
    await sleep(1_500);
    t.is(billed(), tokens);
    const byWindow = new Map<number, string>();
    system.platform.reports.received().forEach(({ window, figures }) => {
      const text = JSON.stringify(figures);
      t.is(byWindow.get(window) ?? text, text);
      byWindow.set(window, text);
    });
  },
);

// One failure domain loses the platform, but not its neighbours. A key that is withdrawn meanwhile
// must stop there as well.
test.serial(
  'a domain cut off from the platform alone learns of a withdrawn key from its peers',
  async (t) => {
    const system = await newSystem(1);
    t.teardown(system.stop);
    const cut = await system.startBehindForwarder('entry', 'entry-cut', 1);
    await system.begin();
    await waitUntil('the cut entry serves', async () =>
      isWhole(await system.complete(cut.daemon, 'players')),
    );
    cut.forwarder.set('cut');
    const yaml = await system.exampleWithoutKey('players');
    const published = await system.publish(yaml);
    t.is(published.status, 0, published.text);
    t.is((await system.complete(cut.daemon, 'players')).status, 401);
    t.true(isWhole(await system.complete(cut.daemon, 'teachers')));
  },
);

// A failure domain is cut off from the platform and from every peer. It serves what it can, and for a
// customer that chose so it refuses once its settings may be too old.
test.serial(
  'a domain that is wholly cut off serves, or refuses where the customer chose that',
  async (t) => {
    const system = await newSystem(1);
    t.teardown(system.stop);
    const cut = await system.startBehindForwarder('entry', 'entry-cut', 1);
    await system.begin();
    const yaml = await system.exampleWith(
      'id: ledger, share',
      'id: ledger, whenCutOff: refuse, share',
    );
    t.is((await system.publish(yaml)).status, 0);
    t.true(isWhole(await system.complete(cut.daemon, 'ledger')));
    cut.forwarder.set('silent');
    system.daemons
      .filter(({ id }) => id !== 'entry-cut')
      .forEach(({ child }) => child.kill('SIGSTOP'));
    await sleep(12_000);
    t.true(isWhole(await system.complete(cut.daemon, 'players')));
    const refused = await system.complete(cut.daemon, 'ledger');
    t.is(refused.status, 503);
    t.regex(refused.text, /settings-too-old/);
  },
);

// The balancer or a firewall forgets open connections to the platform: they stay open and silent, new
// ones work. A host that kept waiting on an old one would keep old settings for ever.
test.serial(
  'a connection to the platform that went silent is replaced within seconds',
  async (t) => {
    const system = await newSystem(1);
    t.teardown(system.stop);
    const host = await system.startBehindForwarder('entry', 'entry-behind', 1, { seeds: [] });
    await system.begin();
    await waitUntil('it serves', async () =>
      isWhole(await system.complete(host.daemon, 'players')),
    );
    host.forwarder.set('silent');
    await sleep(300);
    host.forwarder.healNewOnly();
    const yaml = await system.exampleWithoutKey('players');
    t.regex((await system.publish(yaml)).text, /"accepted":true/);
    const startedAt = performance.now();
    await waitUntil(
      'the key is refused',
      async () => (await system.complete(host.daemon, 'players')).status === 401,
    );
    t.log(`refused after ${Math.round(performance.now() - startedAt)} ms`);
    t.pass();
  },
);

// All hosts are replaced at once, after the log has dropped the records of the first settings.
test.serial('a wholly new set of hosts comes back from the log alone', async (t) => {
  const system = await newSystem(1, { recordsKept: 200 });
  t.teardown(system.stop);
  await system.begin();
  for (let count = 0; count < 60; count += 1) {
    await system.appendForeign(10);
    await sleep(100);
  }
  await Promise.all(system.daemons.map(({ child }) => system.processes.end(child, 'SIGKILL')));
  const entry = await system.startOne('entry', 'entry-new', 0, { seeds: [] });
  await waitUntil('it serves from the log alone', async () =>
    isWhole(await system.complete(entry, 'players')),
  );
  t.is((await system.complete(entry, 'nobody')).status, 401);
});

// A caller sends a deposit, its entry is killed before it answers, and the caller sends it again
// elsewhere, several times. The deposit may be booked once at most.
test.serial(
  'a call that may not be repeated runs at most once through the death of its entry',
  async (t) => {
    const system = await newSystem(3);
    t.teardown(system.stop);
    await system.begin();
    const booked = (): string[] =>
      [...system.platform.fleet.running.values()].flatMap(({ engine }) =>
        engine
          .served()
          .filter(({ path }) => path.startsWith('/call/book'))
          .map(({ path }) => path),
      );
    const send = (entry: { url: string }, key: string) =>
      post(
        `${entry.url}/v1/services/deposits/book-${key}`,
        'ledger',
        { n: 1 },
        { 'idempotency-key': key },
      ).catch(() => null);
    const [one, two, three] = system.entries;
    const keys = Array.from({ length: 10 }, (_, index) => `k${index}`);
    const first = keys.map((key) => send(one!, key));
    await sleep(60);
    one!.child.kill('SIGKILL');
    await Promise.all(first);
    await Promise.all(keys.flatMap((key) => [send(two!, key), send(three!, key), send(two!, key)]));
    keys.forEach((key) => {
      t.true(booked().filter((path) => path.endsWith(`book-${key}`)).length <= 1, key);
    });
    t.true(isWhole(await system.complete(two!, 'players')));
    t.true(keyOf('ledger').length > 0);
  },
);

// An entry is killed while it streams. What it had passed on was service, and was copied to a peer.
test.serial('usage of a killed entry is billed from the copy at its peer', async (t) => {
  const system = await newSystem(2);
  t.teardown(system.stop);
  await system.begin();
  const [one] = system.entries;
  system.platform.faults.set({
    target: 'log',
    fault: 'slow',
    isOn: true,
    times: -1,
    delayMs: 1_500,
  });
  t.true(isWhole(await system.complete(one!, 'repairs', { max_tokens: 111 })));
  await sleep(1_200);
  one!.child.kill('SIGKILL');
  system.platform.faults.set({ target: 'log', fault: 'slow', isOn: false, times: -1, delayMs: 0 });
  await waitUntil('it is billed', async () =>
    system.platform.reports.received().some(({ figures }) => figures.repairs?.outputTokens === 111),
  );
  t.pass();
});

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

// A zone's cheap upstreams are taken back while an entry that streams from them is being replaced.
test.serial('streams of a draining entry outlive the reclaim of their zone', async (t) => {
  const system = await newSystem(2, { tokenDelayMs: 20 });
  t.teardown(system.stop);
  await system.begin();
  const [one] = system.entries;
  const streams = Array.from({ length: 6 }, (_, index) =>
    system.complete(
      one!,
      'workshop',
      { max_tokens: 250, prompt: `question ${index}` },
      { 'x-priority': 'training' },
    ),
  );
  await sleep(800);
  const ended = system.processes.end(one!.child, 'SIGTERM');
  const reclaimed = await request(`${system.platform.url}/reclaim`, {
    method: 'POST',
    body: JSON.stringify({ failureDomain: 'nafplio-a' }),
  });
  t.is(reclaimed.statusCode, 200);
  const answers = await Promise.all(streams);
  t.true(answers.every(isWhole));
  await ended;
  t.is(one!.child.exitCode, 0);
});
