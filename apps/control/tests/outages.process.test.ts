import { setTimeout as sleep } from 'node:timers/promises';
import { isStreamComplete, post } from '@cyclamengate/fakes/callers';
import newSystem from '@cyclamengate/fakes/newSystem';
import { waitUntil } from '@cyclamengate/fakes/newProcesses';
import test from 'ava';

// Guards against failed requests, lost usage and usage billed twice during an outage of the log that
// lasts longer than leases and usage windows.
test.serial(
  'entries go on serving during an outage of the log and usage is billed correctly afterwards',
  async (t) => {
    const system = await newSystem(2);
    t.teardown(system.stop);
    await system.publishExampleAndWait();
    const [one, two] = system.entries;
    system.platform.faults.set({ target: 'log', fault: 'down', isOn: true, times: -1, delayMs: 0 });
    let tokens = 0;
    for (let count = 0; count < 40; count += 1) {
      const answer = await system.requestCompletion(count % 2 === 0 ? one! : two!, 'booking', {
        max_tokens: 7,
      });
      t.true(isStreamComplete(answer));
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
    const countBilledTokens = (): number =>
      [
        ...new Map(
          system.platform.reports.received().map((report) => [report.window, report]),
        ).values(),
      ].reduce((sum, { figures }) => sum + (figures.booking?.outputTokens ?? 0), 0);
    await waitUntil('all usage is billed', async () => countBilledTokens() >= tokens);
    await sleep(1_500);
    t.is(countBilledTokens(), tokens);
    const figuresByWindow = new Map<number, string>();
    system.platform.reports.received().forEach(({ window, figures }) => {
      const text = JSON.stringify(figures);
      t.is(figuresByWindow.get(window) ?? text, text);
      figuresByWindow.set(window, text);
    });
  },
);

// Guards against accepting a withdrawn key in a failure domain that can't reach the platform, but can
// reach its peers.
test.serial(
  'a domain partitioned from the platform alone learns of a withdrawn key from its peers',
  async (t) => {
    const system = await newSystem(1);
    t.teardown(system.stop);
    const partitioned = await system.startBehindForwarder('entry', 'entry-cut', 1);
    await system.publishExampleAndWait();
    await waitUntil('the partitioned entry serves', async () =>
      isStreamComplete(await system.requestCompletion(partitioned.daemon, 'players')),
    );
    partitioned.forwarder.setMode('cut');
    const yaml = await system.withdrawKeyInExample('players');
    const published = await system.publish(yaml);
    t.is(published.status, 0, published.text);
    t.is((await system.requestCompletion(partitioned.daemon, 'players')).status, 401);
    t.true(isStreamComplete(await system.requestCompletion(partitioned.daemon, 'teachers')));
  },
);

// Guards against refusing all requests in a failure domain that can reach neither the platform nor any
// peer, and against serving a customer that chose refusal once the settings may be too old.
test.serial(
  'a fully partitioned domain serves, or refuses where the customer chose that',
  async (t) => {
    const system = await newSystem(1);
    t.teardown(system.stop);
    const partitioned = await system.startBehindForwarder('entry', 'entry-cut', 1);
    await system.publishExampleAndWait();
    const yaml = await system.replaceInExample(
      'id: ledger, share',
      'id: ledger, whenCutOff: refuse, share',
    );
    t.is((await system.publish(yaml)).status, 0);
    t.true(isStreamComplete(await system.requestCompletion(partitioned.daemon, 'ledger')));
    partitioned.forwarder.setMode('silent');
    system.daemons
      .filter(({ id }) => id !== 'entry-cut')
      .forEach(({ child }) => child.kill('SIGSTOP'));
    await sleep(12_000);
    t.true(isStreamComplete(await system.requestCompletion(partitioned.daemon, 'players')));
    const refused = await system.requestCompletion(partitioned.daemon, 'ledger');
    t.is(refused.status, 503);
    t.regex(refused.text, /settings-too-old/);
  },
);

// Guards against a host that waits on a dead connection and keeps stale settings forever: a load
// balancer or firewall drops the state of open connections, which stay open without any traffic, while
// new connections work.
test.serial('an unresponsive connection to the platform is replaced within seconds', async (t) => {
  const system = await newSystem(1);
  t.teardown(system.stop);
  const host = await system.startBehindForwarder('entry', 'entry-behind', 1, { seeds: [] });
  await system.publishExampleAndWait();
  await waitUntil('the entry serves', async () =>
    isStreamComplete(await system.requestCompletion(host.daemon, 'players')),
  );
  host.forwarder.setMode('silent');
  await sleep(300);
  host.forwarder.restoreNewConnections();
  const yaml = await system.withdrawKeyInExample('players');
  t.regex((await system.publish(yaml)).text, /"accepted":true/);
  const startedAt = performance.now();
  await waitUntil(
    'the key is refused',
    async () => (await system.requestCompletion(host.daemon, 'players')).status === 401,
  );
  t.log(`refused after ${Math.round(performance.now() - startedAt)} ms`);
  t.pass();
});

// Guards against losing the settings when all hosts are replaced at once after the log has dropped the
// records that first published them.
test.serial('an entirely new set of hosts restores its state from the log alone', async (t) => {
  const system = await newSystem(1, { recordsKept: 200 });
  t.teardown(system.stop);
  await system.publishExampleAndWait();
  for (let count = 0; count < 60; count += 1) {
    await system.appendForeignRecords(10);
    await sleep(100);
  }
  await Promise.all(system.daemons.map(({ child }) => system.processes.end(child, 'SIGKILL')));
  const entry = await system.startDaemon('entry', 'entry-new', 0, { seeds: [] });
  await waitUntil('the new entry serves', async () =>
    isStreamComplete(await system.requestCompletion(entry, 'players')),
  );
  t.is((await system.requestCompletion(entry, 'nobody')).status, 401);
});
