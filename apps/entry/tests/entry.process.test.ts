import { connect } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { request } from 'undici';
import { waitUntil } from '@cyclamengate/fakes/newProcesses';
import test from 'ava';
import { isStreamComplete, demoKeyOf, post } from '@cyclamengate/fakes/callers';
import newSystem from '@cyclamengate/fakes/newSystem';

/** Sends raw bytes and resolves to everything that the server answered before the connection closed. */
const sendRaw = (url: string, text: string): Promise<string> =>
  new Promise((resolve) => {
    const { hostname, port } = new URL(url);
    const socket = connect(Number(port), hostname, () => socket.write(text));
    const chunks: Buffer[] = [];
    socket.on('data', (chunk) => chunks.push(chunk));
    socket.on('close', () => resolve(Buffer.concat(chunks).toString()));
    // A server that refuses early closes while the rest is still being written, so the write fails
    // with EPIPE or ECONNRESET. The answer received until then is what the test checks.
    socket.on('error', () => socket.destroy());
  });

// Guards against a caller's key reaching an upstream through any part of a request, or appearing in a
// log line, error or metric.
test('no key leaves the entry, in headers, bodies, paths, logs, errors or metrics', async (t) => {
  const system = await newSystem(1);
  t.teardown(system.stop);
  await system.publishExampleAndWait();
  const [entry] = system.entries;
  const service = `${entry!.url}/v1/services/client-desk/find`;
  t.is(
    (await post(service, 'players', { part: 'bridge' }, { 'x-smuggled': demoKeyOf('players') }))
      .status,
    200,
  );
  t.is((await post(`${service}?key=${demoKeyOf('players')}`, 'players', {})).status, 400);
  t.is((await post(service, 'players', { key: demoKeyOf('players') })).status, 400);
  const both = await post(service, 'players', {}, { 'x-api-key': demoKeyOf('teachers') });
  t.is(both.status, 400);
  t.is((await post(service, 'nobody', {})).status, 401);
  const metrics = await (await request(`${entry!.url}/metrics`)).body.text();
  const exposed = [
    ...[...system.platform.fleet.running.values()].map(({ engine }) =>
      JSON.stringify(engine.served()),
    ),
    ...system.daemons.flatMap(({ output }) => output),
    metrics,
    both.text,
  ].join('\n');
  t.true(exposed.includes('"customer":"players"'));
  t.false(exposed.includes('cgk_'));
});

// Guards against request smuggling (conflicting length headers) and against oversized or slow requests
// that impair other callers.
test('malformed, oversized and slow requests are refused and others still served', async (t) => {
  const system = await newSystem(1);
  t.teardown(system.stop);
  await system.publishExampleAndWait();
  const [entry] = system.entries;
  const head = `POST /v1/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer ${demoKeyOf('players')}\r\n`;
  const smuggled = await sendRaw(
    entry!.url,
    `${head}content-length: 2\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\nGET /metrics HTTP/1.1\r\n\r\n`,
  );
  t.regex(smuggled, /^HTTP\/1\.1 400/);
  const longHeaders = await sendRaw(entry!.url, `${head}x-fat: ${'a'.repeat(20_000)}\r\n\r\n`);
  t.regex(longHeaders, /^HTTP\/1\.1 431/);
  const large = await system.requestCompletion(entry!, 'players', {
    prompt: 'x'.repeat(8_000_000),
  });
  t.is(large.status, 413);
  t.is(JSON.parse(large.text).error.outcome, 'not-run');
  const slow = await sendRaw(entry!.url, `${head}content-length: 100\r\n\r\n{"model":`);
  t.regex(slow, /^HTTP\/1\.1 408/);
  t.regex(slow, /"outcome":"not-run"/);
  t.true(isStreamComplete(await system.requestCompletion(entry!, 'players')));
});

// Guards against checking keys only at the start of a request: an operator withdraws a key while a
// long stream with that key is open.
test('a withdrawn key ends its open stream and is refused at every entry', async (t) => {
  const system = await newSystem(2, { tokenDelayMs: 20 });
  t.teardown(system.stop);
  await system.publishExampleAndWait();
  const [one, two] = system.entries;
  const openStream = system.requestCompletion(one!, 'players', { max_tokens: 5_000 });
  const other = system.requestCompletion(two!, 'teachers', { max_tokens: 200 });
  const yaml = `subtrees:
  /papadakis:
    customers: [{ id: players }, { id: teachers }]
    keys:
      - { id: teachers-key, customer: teachers, digest: DIGEST }`;
  const { default: digest } = await import('@cyclamengate/common/digest');
  const published = await system.publish(yaml.replace('DIGEST', digest(demoKeyOf('teachers'))));
  t.is(published.status, 0, published.text);
  const ended = await openStream;
  t.regex(ended.text, /"code":"key-withdrawn","outcome":"partial"/);
  t.false(isStreamComplete(ended));
  for (const entry of [one!, two!])
    t.is((await system.requestCompletion(entry, 'players')).status, 401);
  t.true(isStreamComplete(await other));
});

// Guards against truncated streams and lost usage when an entry is replaced while it serves.
test('a graceful shutdown completes open streams and writes their usage to the log', async (t) => {
  const system = await newSystem(2, { tokenDelayMs: 20 });
  t.teardown(system.stop);
  await system.publishExampleAndWait();
  const [one] = system.entries;
  const openStream = system.requestCompletion(one!, 'teachers', { max_tokens: 250 });
  await waitUntil('the stream runs', async () => {
    const metrics = await (await request(`${one!.url}/metrics`)).body.text();
    return metrics.includes('open_requests 1');
  });
  const ended = system.processes.end(one!.child, 'SIGTERM');
  await waitUntil('not ready', async () => {
    const ready = await request(`${one!.url}/ready`);
    await ready.body.dump();
    return ready.statusCode === 503;
  });
  t.true(isStreamComplete(await openStream));
  await ended;
  t.is(one!.child.exitCode, 0);
  await waitUntil('the usage is reported', async () =>
    system.platform.reports
      .received()
      .some(({ figures }) => (figures.teachers?.outputTokens ?? 0) === 250),
  );
});

// Guards against an upstream that goes on generating after the caller closed its connection in the
// middle of an answer.
test('a caller that disconnects cancels the work of its upstream', async (t) => {
  const system = await newSystem(1, { tokenDelayMs: 20 });
  t.teardown(system.stop);
  await system.publishExampleAndWait();
  const [entry] = system.entries;
  const disconnect = new AbortController();
  const pendingResponse = request(`${entry!.url}/v1/completions`, {
    method: 'POST',
    signal: disconnect.signal,
    headers: {
      authorization: `Bearer ${demoKeyOf('players')}`,
      'content-type': 'application/json',
    },
    body: JSON.stringify({ model: 'tone-assistant', prompt: 'x', max_tokens: 9_000, stream: true }),
  });
  const answer = await pendingResponse;
  answer.body.on('error', () => undefined);
  const countActive = (): number =>
    [...system.platform.fleet.running.values()].reduce(
      (sum, { engine }) => sum + engine.status().active,
      0,
    );
  await waitUntil('the request runs', async () => countActive() === 1);
  disconnect.abort();
  await waitUntil('the request is cancelled', async () => countActive() === 0);
  t.pass();
});

// Guards against relaying another request's tokens or a truncated answer, and against waiting forever
// for an engine that stops responding in the middle of an answer.
test('crossed, truncated and stalled answers are replaced by complete ones', async (t) => {
  const system = await newSystem(1);
  t.teardown(system.stop);
  await system.publishExampleAndWait();
  const [entry] = system.entries;
  for (const fault of ['cross-answers', 'cut-answers', 'silent'] as const) {
    system.platform.faults.set({ target: 'any-upstream', fault, isOn: true, times: 1, delayMs: 0 });
    const answer = await system.requestCompletion(entry!, 'players', { max_tokens: 10 });
    const tokenIndices = [...answer.text.matchAll(/"text":" 11\.(\d+)"/g)].map(([, index]) =>
      Number(index),
    );
    t.true(isStreamComplete(answer), `${fault}: ${answer.text.slice(-200)}`);
    t.deepEqual(tokenIndices, [0, 1, 2, 3, 4, 5, 6, 7, 8, 9], fault);
  }
});

// Guards against sending new work to an upstream that is shutting down and would lose it.
test('a leaving upstream gets no new work after a few seconds', async (t) => {
  const system = await newSystem(1, { tokenDelayMs: 5, listLagMs: 1_000 });
  t.teardown(system.stop);
  await system.publishExampleAndWait();
  const [entry] = system.entries;
  const leaving = [...system.platform.fleet.running.values()].find(
    ({ status }) => status.service === 'tone-assistant' && status.failureDomain === 'nafplio-a',
  );
  leaving!.status.state = 'leaving';
  leaving!.engine.leave();
  await sleep(3_000);
  const before = leaving!.engine.served().length;
  for (let count = 0; count < 20; count += 1) {
    t.true(
      isStreamComplete(
        await system.requestCompletion(entry!, 'players', { prompt: `question ${count}` }),
      ),
    );
  }
  t.is(leaving!.engine.served().length, before);
});
