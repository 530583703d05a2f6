import { MODEL } from '@cyclamengate/app-platform-standin/newPlatform';
import { expectedEventCount } from '@cyclamengate/app-platform-standin/newEngineServer';
import test from 'ava';
import { batchBody, submit } from './batchHelpers.js';
import type { ResultPage } from './batchHelpers.js';
import { isRefusedForNow, newMemorySystem, startLookups } from './memoryHelpers.js';
import { send, sleep } from './newHosts.js';
import type { Answer, TestHost } from './newHosts.js';

const GROUP_SIZE = 8;
/** As many items as a batch may have. */
const MAX_ITEMS = 16_384;
const BATCHES_BY_SENDER = 12;
const SUBMIT_PAUSE_MS = 300;
const TEXTS = 48;
const EVENT_BYTES = 500_000;

const newBatchText = (name: string, items: number): string =>
  batchBody(name, items / GROUP_SIZE, GROUP_SIZE);

interface NamedBatch {
  id: string;
  text: string;
}

const newBatchesOf = (sender: string): NamedBatch[] =>
  Array.from({ length: BATCHES_BY_SENDER }, (_, number) => {
    const id = `${sender}${number}`;
    return { id, text: newBatchText(id, MAX_ITEMS) };
  });

/** Submits batches one after the other, and ends each as the next one is accepted. */
const submitMany = async (host: TestHost, batches: NamedBatch[]): Promise<Answer[]> => {
  const answers: Answer[] = [];
  let open: string | null = null;
  for (const { id, text } of batches) {
    const answer = await submit(host, id, text);
    answers.push(answer);
    if (open !== null) await send(host, 'DELETE', `/v1/lots/${open}`);
    open = answer.status === 202 ? id : null;
    await sleep(SUBMIT_PAUSE_MS);
  }
  return answers;
};

test.serial('batches of very many small items are accepted, or refused for now', async (t) => {
  // Guards against what every host holds of all batches: at some 500,000 items a host ended.
  const { system, checkHosts } = await newMemorySystem(t);
  // Made before: this process, which has the upstreams as well, stalls meanwhile.
  const senders = system.hosts.map((host, index) => ({
    host,
    batches: newBatchesOf(`sender${index}-`),
  }));
  const stopLookups = startLookups(system.hosts);
  const answers = await Promise.all(senders.map(({ host, batches }) => submitMany(host, batches)));
  const accepted = answers.flat().filter(({ status }) => status === 202);
  const refused = answers.flat().filter(isRefusedForNow);
  t.log(`${accepted.length} accepted, ${refused.length} refused`);
  t.true(accepted.length >= 6, 'what fits is accepted');
  t.is(accepted.length + refused.length, answers.flat().length);
  const lookups = await stopLookups();
  t.deepEqual(new Set(lookups.map(({ status }) => status)), new Set([200]));
  checkHosts();
});

/** A large batch whose bytes are bodies, or headers, which hosts hold in another way. */
const newLargeBatchText = (name: string, part: 'body' | 'headers'): string =>
  JSON.stringify({
    model: MODEL,
    'min-version': 1,
    entries: Array.from({ length: 240 }, (_, index) => ({
      id: `${name}-${index}`,
      path: `/rounds/${name}/${index}`,
      headers: { Model: MODEL, Note: part === 'headers' ? 'n'.repeat(125_000) : '' },
      body: part === 'body' ? Buffer.alloc(95_000, `${index} `).toString('base64') : '',
      group: `${name}-g${Math.floor(index / GROUP_SIZE)}`,
    })),
  });

test.serial('large bodies, many items and long texts come together', async (t) => {
  // Guards against limits that hold one by one, and not for all that a host holds at once.
  const { platform, system, first, second, third, checkHosts } = await newMemorySystem(t);
  platform.engines.forEach(({ faults }) => Object.assign(faults, { paddingBytes: EVENT_BYTES }));
  // Made before: this process, which has the upstreams as well, stalls meanwhile.
  const body = 'p'.repeat(30_000_000);
  const batches = [
    newLargeBatchText('bodies-0', 'body'),
    newLargeBatchText('headers', 'headers'),
    newLargeBatchText('bodies-1', 'body'),
    newBatchText('items', MAX_ITEMS),
  ];
  const stopLookups = startLookups([second, third]);
  t.is((await submit(second, 'texts', newBatchText('texts', TEXTS))).status, 202);
  const sendRequests = Promise.all(
    Array.from({ length: 4 }, (_, index) =>
      send(first, 'POST', `/lookup/large-${index}`, { id: `large-${index}`, body }),
    ),
  );
  const submitted = Promise.all(
    batches.map((text, index) => submit(first, `at-once-${index}`, text)),
  );
  const answers = [...(await sendRequests), ...(await submitted)];
  answers.forEach((answer) =>
    t.true(answer.status === 200 || answer.status === 202 || isRefusedForNow(answer)),
  );
  await sleep(3_000);
  t.deepEqual(new Set((await stopLookups()).map(({ status }) => status)), new Set([200]));
  system.hosts.forEach(({ events }) =>
    t.false(events.some(({ event }) => event === 'process.broken')),
  );
  checkHosts();
});

const countBytes = (id: string): number => {
  const events = Array.from({ length: expectedEventCount(id) }, (_, index) => `${id}/${index + 1}`);
  return events.join('\n').length + events.length * EVENT_BYTES;
};

test.serial('texts of several megabytes are generated as far as there is room', async (t) => {
  // Guards against the texts of all items that a host runs, which nothing bounded: 140 MB at once.
  const { platform, first, second, system, checkHosts } = await newMemorySystem(t);
  platform.engines.forEach(({ faults }) => Object.assign(faults, { paddingBytes: EVENT_BYTES }));
  const stopLookups = startLookups(system.hosts);
  t.is((await submit(first, 'b', newBatchText('b', TEXTS))).status, 202);
  const read = async (from: number): Promise<void> => {
    if (from === TEXTS) return;
    const headers = { 'wait-ms': '300' };
    const answer = await send(second, 'GET', `/v1/lots/b?after=${from}`, { headers });
    const isRead = answer.status === 200;
    t.true(isRead || isRefusedForNow(answer));
    const page = isRead ? (JSON.parse(answer.body) as ResultPage) : null;
    page?.results.forEach(({ id, state, text }) => {
      t.is(state, 'completed');
      t.is(text.length, countBytes(id));
    });
    await read(page?.['next-token'] ?? from);
  };
  await read(0);
  const lookups = await stopLookups();
  t.deepEqual(new Set(lookups.map(({ status }) => status)), new Set([200]));
  checkHosts();
});
