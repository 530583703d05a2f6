import { setTimeout as sleep } from 'node:timers/promises';
import { isWhole, keyOf, post } from '@cyclamengate/fakes/callers';
import newSystem from '@cyclamengate/fakes/newSystem';
import { waitUntil } from '@cyclamengate/fakes/newProcesses';
import test from 'ava';
import { request } from 'undici';

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
