import { setTimeout as sleep } from 'node:timers/promises';
import { isWhole, post } from '@cyclamengate/fakes/callers';
import newSystem from '@cyclamengate/fakes/newSystem';
import { waitUntil } from '@cyclamengate/fakes/newProcesses';
import test from 'ava';

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
