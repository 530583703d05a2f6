import { setTimeout as sleep } from 'node:timers/promises';
import { isStreamComplete, demoKeyOf, post } from '@cyclamengate/fakes/callers';
import newSystem from '@cyclamengate/fakes/newSystem';
import { waitUntil } from '@cyclamengate/fakes/newProcesses';
import test from 'ava';
import { request } from 'undici';

// Guards against booking a deposit twice: its entry is killed before it answers, and the caller
// retries several times at other entries.
test.serial('a non-idempotent call runs at most once when its entry is killed', async (t) => {
  const system = await newSystem(3);
  t.teardown(system.stop);
  await system.publishExampleAndWait();
  const listBookings = (): string[] =>
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
  const firstAttempts = keys.map((key) => send(one!, key));
  await sleep(60);
  one!.child.kill('SIGKILL');
  await Promise.all(firstAttempts);
  await Promise.all(keys.flatMap((key) => [send(two!, key), send(three!, key), send(two!, key)]));
  keys.forEach((key) => {
    t.true(listBookings().filter((path) => path.endsWith(`book-${key}`)).length <= 1, key);
  });
  t.true(isStreamComplete(await system.requestCompletion(two!, 'players')));
  t.true(demoKeyOf('ledger').length > 0);
});

// Guards against losing usage that a killed entry had relayed and copied to a peer, but not yet
// written to the log.
test.serial('usage of a killed entry is billed from the copy at its peer', async (t) => {
  const system = await newSystem(2);
  t.teardown(system.stop);
  await system.publishExampleAndWait();
  const [one] = system.entries;
  system.platform.faults.set({
    target: 'log',
    fault: 'slow',
    isOn: true,
    times: -1,
    delayMs: 1_500,
  });
  t.true(isStreamComplete(await system.requestCompletion(one!, 'repairs', { max_tokens: 111 })));
  await sleep(1_200);
  one!.child.kill('SIGKILL');
  system.platform.faults.set({ target: 'log', fault: 'slow', isOn: false, times: -1, delayMs: 0 });
  await waitUntil('the usage is reported', async () =>
    system.platform.reports.received().some(({ figures }) => figures.repairs?.outputTokens === 111),
  );
  t.pass();
});

// Guards against losing streams when the platform reclaims the cheap upstreams of a failure domain
// while an entry that streams from them is draining.
test.serial('streams of a draining entry survive the reclaim of their upstreams', async (t) => {
  const system = await newSystem(2, { tokenDelayMs: 20 });
  t.teardown(system.stop);
  await system.publishExampleAndWait();
  const [one] = system.entries;
  const streams = Array.from({ length: 6 }, (_, index) =>
    system.requestCompletion(
      one!,
      'workshop',
      { max_tokens: 250, prompt: `question ${index}` },
      { 'x-priority': 'training' },
    ),
  );
  await sleep(800);
  const ended = system.processes.end(one!.child, 'SIGTERM');
  const reclaim = await request(`${system.platform.url}/reclaim`, {
    method: 'POST',
    body: JSON.stringify({ failureDomain: 'nafplio-a' }),
  });
  t.is(reclaim.statusCode, 200);
  const answers = await Promise.all(streams);
  t.true(answers.every(isStreamComplete));
  await ended;
  t.is(one!.child.exitCode, 0);
});
