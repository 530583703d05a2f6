import { once } from 'node:events';
import { CUSTOMER_KEY, HOST_NAME } from '@cyclamengate/app-platform-standin/newPlatform';
import newRawSender from '@cyclamengate/fakes/newRawSender';
import test from 'ava';
import { batchBody, readAllResults, submit, expectedTextOf } from './batchHelpers.js';
import { isReady, send, sleep, waitUntil } from './newHosts.js';
import { findRunner, newSystem } from './testSystem.js';

const LARGE_BODY_BYTES = 4_000_000;

test.serial('a batch completes on another host when the host that runs it is killed', async (t) => {
  // Guards against items that are lost or returned twice when the host that runs a batch is killed in
  // the middle of it, while the trainer reads the results from another host.
  const { platform, system, first, close } = await newSystem();
  platform.engines.forEach(({ faults }) => {
    faults.slowdownFactor = 20;
  });
  t.is((await submit(first, 'b3', batchBody('b3', 2, 4))).status, 202);
  await waitUntil(() => platform.engines.some(({ runs }) => runs.length > 0));
  const runner = await findRunner(system.hosts);
  await runner.end('SIGKILL');
  platform.engines.forEach(({ faults }) => {
    faults.slowdownFactor = 1;
  });
  const survivor = system.hosts.find((host) => host !== runner) as typeof first;
  const page = await readAllResults(survivor, 'b3');
  t.is(new Set(page.results.map(({ id }) => id)).size, 8);
  t.true(page.results.every(({ id, text }) => text === expectedTextOf(id)));
  await close();
});

test.serial('a stopping host is no longer ready, and completes its open requests', async (t) => {
  // Guards against open requests that fail when the platform stops a host, as in a rolling restart.
  const { first, close } = await newSystem(1);
  const pendingAnswers = Array.from({ length: 8 }, (_, index) =>
    send(first, 'POST', '/lookup/7', { id: `s${index}`, body: 'x' }),
  );
  const ended = first.end('SIGTERM');
  t.true((await Promise.all(pendingAnswers)).every(({ status }) => status === 200));
  t.false(await isReady(first));
  await ended;
  t.is(first.child.exitCode, 0);
  await close();
});

test.serial('the items of a stopping host are resumed on another host', async (t) => {
  // Guards against items that start over when the host that runs a batch is stopped in the middle of
  // it: the next host resumes their streams after the last event.
  const { platform, system, first, close } = await newSystem();
  platform.engines.forEach(({ faults }) => {
    faults.slowdownFactor = 15;
  });
  t.is((await submit(first, 'b9', batchBody('b9', 2, 4))).status, 202);
  await waitUntil(() => platform.engines.some(({ runs }) => runs.length > 0));
  await new Promise((resolve) => {
    setTimeout(resolve, 700);
  });
  const runner = await findRunner(system.hosts);
  const ended = runner.end('SIGTERM');
  const survivor = system.hosts.find((host) => host !== runner) as typeof first;
  const page = await readAllResults(survivor, 'b9');
  t.true(page.results.every(({ id, text }) => text === expectedTextOf(id)));
  const resumed = platform.engines.flatMap(({ runs }) => runs).filter((r) => r.lastEventId > 0);
  t.true(resumed.length > 0);
  await ended;
  t.is(runner.child.exitCode, 0);
  await close();
});

test.serial('a stopping host refuses a large body without resetting the connection', async (t) => {
  // Guards against a sender that gets EPIPE instead of the refusal, and sends the same body again.
  const { first, close } = await newSystem(1);
  t.teardown(close);
  const [address = '', port] = first.callers.split(':');
  const sender = await newRawSender(address, Number(port));
  const { socket, faults, closed, takeText, writeBody } = sender;
  const formatRequestHead = (bytes: number): string =>
    `POST /lookup/7 HTTP/1.1\r\nhost: x\r\ncontent-length: ${bytes}\r\n\r\n`;
  socket.write(`${formatRequestHead(1)}x`);
  await waitUntil(() => takeText() !== '');
  const ended = first.end('SIGTERM');
  await waitUntil(async () => !(await isReady(first)));
  socket.write(formatRequestHead(LARGE_BODY_BYTES));
  await writeBody(LARGE_BODY_BYTES);
  await closed;
  t.deepEqual(faults, []);
  const answer = takeText();
  t.regex(answer, /^HTTP\/1\.1 4\d\d/);
  t.regex(answer, /connection: close/i);
  await ended;
});

const SLOW_LOOKUP_MS = 400;
const SEND_INTERVAL_MS = 40;

test.serial(
  'a busy stopping host loses no request that it takes in its last seconds',
  async (t) => {
    // Guards against requests that a stopping host passes on and cuts off as its process ends, since one
    // long request keeps it until then.
    const { platform, first, close } = await newSystem(1);
    t.teardown(close);
    platform.plain.forEach(({ faults }) => {
      faults.responseDelayMs = SLOW_LOOKUP_MS;
    });
    const [address = '', port] = first.callers.split(':');
    const newSender = () => newRawSender(address, Number(port));
    const [long, kept] = [await newSender(), await newSender()];
    const head = `POST /lookup/7 HTTP/1.1\r\nhost: ${HOST_NAME}\r\nx-api-key: ${CUSTOMER_KEY}\r\n`;
    long.socket.write(`${head}content-length: 9\r\n\r\n`);
    kept.socket.write('POST /lookup/7 HTTP/1.1\r\nhost: x\r\ncontent-length: 1\r\n\r\nx');
    await waitUntil(() => kept.takeText() !== '');
    const ended = first.end('SIGTERM');
    await once(kept.socket, 'end');
    kept.socket.destroy();
    t.is(first.child.exitCode, null);
    const sends: Promise<{ id: string; status: number | string }>[] = [];
    while (first.child.exitCode === null) {
      const id = `late-${sends.length}`;
      sends.push(
        send(first, 'POST', '/lookup/7', { id, body: 'x' }).then(
          ({ status }) => ({ id, status }),
          ({ code }: { code: string }) => ({ id, status: code }),
        ),
      );
      await sleep(SEND_INTERVAL_MS);
    }
    await ended;
    const outcomes = await Promise.all(sends);
    const hasRun = (id: string): boolean =>
      platform.plain.some(({ runs }) => runs.some(({ requestId }) => requestId === id));
    t.deepEqual(
      outcomes.filter(({ id, status }) => hasRun(id) !== (status === 200)),
      [],
    );
    t.true(outcomes.some(({ status }) => status === 503));
  },
);
