import { HOST_NAME, MODEL } from '@cyclamengate/app-platform-standin/newPlatform';
import test from 'ava';
import { expectedTextOf, readAllResults, submit } from './batchHelpers.js';
import { MAX_BODY_BYTES, isRefusedForNow, newMemorySystem, startLookups } from './memoryHelpers.js';
import { send, sleep, waitUntil } from './newHosts.js';
import type { Answer, TestHost } from './newHosts.js';

/** How long the trainers of the smallest deployment wait for a batch to be accepted. */
const ACCEPT_MS = 12_000;
const SENDERS = 6;
const GROUP_SIZE = 8;

interface Shape {
  items: number;
  bodyBytes: number;
  scoringBytes: number;
}

const SHAPES: Record<string, Shape> = {
  'many items': { items: 512, bodyBytes: 45_000, scoringBytes: 0 },
  'one item': { items: 1, bodyBytes: 24_900_000, scoringBytes: 10 },
  'a few items': { items: 4, bodyBytes: 6_200_000, scoringBytes: 10 },
  'scoring bodies': { items: 64, bodyBytes: 100, scoringBytes: 370_000 },
  'both bodies': { items: 24, bodyBytes: 450_000, scoringBytes: 450_000 },
};

/** The bytes differ from item to item, so that a mix-up shows. */
const newBytes = (size: number, index: number): Buffer => Buffer.alloc(size, `body ${index} `);

const newBatchText = (name: string, { items, bodyBytes, scoringBytes }: Shape): string =>
  JSON.stringify({
    'train-step': 1,
    model: MODEL,
    'min-version': 1,
    desired: Math.ceil(items / GROUP_SIZE),
    entries: Array.from({ length: items }, (_, index) => ({
      id: `${name}-${index}`,
      path: `/rounds/${name}/${index}`,
      headers: { Model: MODEL, 'Token-Count': '15000,1600' },
      body: newBytes(bodyBytes, index).toString('base64'),
      tokens: 16_600,
      group: `${name}-g${Math.floor(index / GROUP_SIZE)}`,
      scorer: {
        id: `${name}-score-${index}`,
        host: HOST_NAME,
        path: `/lookup/score/${index}`,
        body: newBytes(scoringBytes, index).toString('base64'),
      },
    })),
  });

/** Submits a batch, and again after the time that a host names, as trainers do. */
const submitUntilAccepted = async (host: TestHost, id: string, text: string): Promise<Answer> => {
  const answer = await submit(host, id, text);
  if (!isRefusedForNow(answer)) return answer;
  await sleep(Number(answer.headers['retry-after']) * 1_000);
  return submitUntilAccepted(host, id, text);
};

test.serial('a batch as large as the operator allows is accepted, run and listed', async (t) => {
  // Guards against hosts that exceed their memory and are ended: a batch of 31 MB ended each host that
  // it reached, and was never accepted.
  const { platform, system, first, second, third, checkHosts } = await newMemorySystem(t);
  // Made before: this process, which has the upstreams as well, stalls meanwhile.
  const batches = Object.entries(SHAPES).map(([shape, sizes]) => {
    const name = shape.replaceAll(' ', '-');
    return { name, shape, sizes, text: newBatchText(name, sizes) };
  });
  const stopLookups = startLookups(system.hosts);
  for (const { name, shape, sizes, text } of batches) {
    t.true(text.length <= MAX_BODY_BYTES && text.length > 0.8 * MAX_BODY_BYTES);
    const startedAt = performance.now();
    t.is((await submit(first, name, text)).status, 202, shape);
    t.true(performance.now() - startedAt < ACCEPT_MS);
    const page = await readAllResults(second, name);
    t.is(page.total, sizes.items);
    page.results.forEach(({ id, state, text: result }) => {
      t.is(state, 'completed');
      t.is(result, expectedTextOf(id));
    });
    platform.engines
      .flatMap(({ runs }) => runs.splice(0))
      .forEach(({ requestId, bytes }) => {
        const index = Number(requestId.split('-').at(-1));
        t.true(bytes.equals(newBytes(sizes.bodyBytes, index)), requestId);
      });
    t.is((await send(third, 'DELETE', `/v1/lots/${name}`)).status, 200);
  }
  const lookups = await stopLookups();
  t.true(lookups.length > 20);
  t.deepEqual(new Set(lookups.map(({ status }) => status)), new Set([200]));
  checkHosts();
});

test.serial(
  'large batches of several senders are accepted, or refused at once for now',
  async (t) => {
    // Guards against batches that are harmless one by one and end the host that takes them together.
    const { first, second, checkHosts } = await newMemorySystem(t);
    const shapes = Object.values(SHAPES);
    const names = Array.from({ length: SENDERS }, (_, index) => `b${index}`);
    const answers = await Promise.all(
      names.map((name, index) =>
        submitUntilAccepted(
          first,
          name,
          newBatchText(name, shapes[index % shapes.length] as Shape),
        ),
      ),
    );
    answers.forEach(({ status }) => t.is(status, 202));
    for (const name of names) {
      const { results, total } = await readAllResults(second, name);
      t.is(results.length, total);
    }
    checkHosts();
  },
);

test.serial(
  'large requests of several callers are answered, or refused before they run',
  async (t) => {
    // Guards against hosts that hold the bodies of all requests that are waiting, and of their answers.
    const { platform, system, first, checkHosts } = await newMemorySystem(t);
    const body = 'p'.repeat(30_000_000);
    const stopLookups = startLookups(system.hosts.slice(1));
    const answers = await Promise.all(
      Array.from({ length: SENDERS }, (_, index) =>
        send(first, 'POST', `/lookup/large-${index}`, { id: `large-${index}`, body }),
      ),
    );
    const served = answers.filter(({ status }) => status === 200);
    const refused = answers.filter(isRefusedForNow);
    t.true(served.length > 0);
    t.is(served.length + refused.length, SENDERS, answers.map(({ status }) => status).join(' '));
    served.forEach((answer) => t.true(answer.body === body));
    const runs = platform.plain.flatMap((upstream) =>
      upstream.runs.filter(({ requestId }) => requestId.startsWith('large-')),
    );
    t.is(new Set(runs.map(({ requestId }) => requestId)).size, served.length);
    t.deepEqual(new Set((await stopLookups()).map(({ status }) => status)), new Set([200]));
    checkHosts();
  },
);

test.serial(
  'a large batch goes on at another host when the one that runs it is stopped',
  async (t) => {
    // Guards against handovers of a whole batch that end the host that sends or takes them.
    const { platform, system, first, checkHosts } = await newMemorySystem(t);
    platform.engines.forEach(({ faults }) => Object.assign(faults, { slowdownFactor: 4 }));
    const text = newBatchText('b', { items: 128, bodyBytes: 180_000, scoringBytes: 0 });
    t.is((await submit(first, 'b', text)).status, 202);
    const hasStarted = ({ events }: TestHost): boolean =>
      events.some(({ event }) => event === 'item.started');
    await waitUntil(() => system.hosts.some(hasStarted));
    const runner = system.hosts.find(hasStarted) as TestHost;
    await sleep(400);
    const ended = runner.end('SIGTERM');
    const reader = system.hosts.find((host) => host !== runner) as TestHost;
    const { results } = await readAllResults(reader, 'b');
    results.forEach(({ id, text: result }) => t.is(result, expectedTextOf(id)));
    await ended;
    t.is(runner.child.exitCode, 0);
    system.hosts.splice(system.hosts.indexOf(runner), 1);
    checkHosts();
  },
);
