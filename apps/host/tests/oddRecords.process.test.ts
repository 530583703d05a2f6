import { HOST_NAME, MODEL } from '@cyclamengate/app-platform-standin/newPlatform';
import newBatchHead from '@cyclamengate/batches/newBatchHead';
import newSegmentBuilder from '@cyclamengate/batches/newSegmentBuilder';
import { toItemRequest } from '@cyclamengate/batches/requestSegment';
import type { Batch, Item, TextPlace } from '@cyclamengate/batches/batchRecord';
import { encodeKeyedBody } from '@cyclamengate/store/newMemoryStore';
import test from 'ava';
import { request } from 'undici';
import { batchBody, readAllResults, submitUntilKnown } from './batchHelpers.js';
import { send, sleep, waitUntil } from './newHosts.js';
import type { TestHost } from './newHosts.js';
import { newSystem } from './testSystem.js';

/** Several reads of each topic, and of what the records name. */
const SETTLE_MS = 4_000;
const TEST_TIMEOUT_MS = 90_000;
const DEPTH = 100_000;
const PIECES = 200;
const PIECE_BYTES = 140_000;
const REQUEST_TOPIC = 'requests-0';

const NESTED = '['.repeat(DEPTH) + ']'.repeat(DEPTH);
const PLACE = { topic: 'texts-1', offset: 0, count: 1, bytes: 5 };

const toBody = (record: unknown): Buffer =>
  Buffer.from(typeof record === 'string' ? record : JSON.stringify(record));

const newItem = (id: string, changes: Partial<Item> = {}): Item => ({
  id,
  path: `/rounds/${id}`,
  headers: { Model: MODEL, 'Token-Count': '100,400' },
  body: Buffer.from('prompt').toString('base64'),
  expectedTokens: 100,
  group: 'g',
  scoring: null,
  ...changes,
});

const newBatch = (id: string, items: Item[], changes: Partial<Batch> = {}): Batch => ({
  type: 'batch',
  id,
  customer: 'museum',
  route: 'rounds',
  hostName: HOST_NAME,
  acceptedAt: Date.now(),
  step: 1,
  model: MODEL,
  leastVersion: 1,
  wantedGroups: 1,
  items,
  ...changes,
});

/** The head of a batch whose requests lie where they are put. */
const newHead = (batch: Batch, putSegment: (bytes: Buffer) => TextPlace) => {
  const parts: Buffer[] = [];
  const builder = newSegmentBuilder({ onPart: (_, part) => parts.push(part) });
  batch.items.map(toItemRequest).forEach(builder.addRequest);
  const heads = builder.end();
  return newBatchHead(batch, heads, [putSegment(Buffer.concat(parts))]);
};

const listKeyedOdd = (): Record<string, [string, string][]> => {
  const crash = (fields: string): string => `{"digest":"d","upstream":"u",${fields}}`;
  return {
    'keyed.op': [
      ['config', '{"version":90,"routes":[],"services":[],"limits":{"idle-timeout-ms":-5000}}'],
      ['config', '{"version":1e308,"routes":[],"services":[]}'],
      [
        'config',
        '{"version":91,"routes":[],"services":[],"tenants":[{"name":"a\\nb","api-keys":[]}]}',
      ],
      ['config', NESTED],
      ['evacuate/', '{}'],
      ['evacuate/detroit', NESTED],
      [`version/${MODEL}`, `{"model":"${MODEL}","version":1e308}`],
      [`version/${MODEL}`, NESTED],
    ],
    'keyed.crashes': [
      ['d/u', crash('"endedAt":1e308')],
      ['d/u', crash(`"endedAt":${Date.now() + 86_400_000}`)],
      ['e/u', crash(`"endedAt":${Date.now()}`)],
      ['d/u', crash('"endedAt":1,"weight":1e999')],
      ['d/u', NESTED],
    ],
  };
};

const listOddParts = (): unknown[] => {
  const part = { type: 'part', batch: 'x', item: 'x', writer: 'w', from: 0, events: [] };
  const rest = { lastEventId: null, versions: [], isWhole: false };
  return [
    { ...part, ...rest, from: -1 },
    { ...part, ...rest, from: 9e15 },
    { ...part, ...rest, events: Array(50_000).fill('') },
    { ...part, ...rest, versions: Array(50_000).fill(1) },
    NESTED,
    '',
    'no',
  ];
};

test('odd records in the topics of hosts and of the operator cost themselves alone', async (t) => {
  // Guards against hosts that end, start no more, or accept, run and list no batch, since another
  // program wrote records among theirs.
  t.timeout(TEST_TIMEOUT_MS);
  const { platform, system, first, second, third, close } = await newSystem(1);
  t.teardown(close);
  const { memory } = platform;
  const areAlive = (): boolean =>
    system.hosts.every(({ child }) => child.exitCode === null && child.signalCode === null);

  const putSegment = (bytes: Buffer): TextPlace => {
    const offset = memory.put(REQUEST_TOPIC, [bytes]);
    return { topic: REQUEST_TOPIC, offset, count: 1, bytes: bytes.length };
  };

  const listOddBatches = (round: string): unknown[] => {
    const head = (id: string, changes: Record<string, unknown>): unknown => ({
      ...newHead(newBatch(`${round}-${id}`, [newItem(`${round}-${id}-1`)]), putSegment),
      ...changes,
    });
    const result = (text: unknown): unknown => ({
      ...{ type: 'result', batch: `${round}-none`, item: 'x', state: 'completed' },
      ...{ text, versions: [1], score: null },
    });
    const headerItem = newItem(`${round}-headers-1`, { headers: { 'X-Odd': 'a\r\nb: c' } });
    const pathItem = newItem(`${round}-path-1`, { path: 'no path\n' });
    return [
      head('count', { segments: [{ ...PLACE, count: 1e9 }] }),
      head('bytes', { segments: [{ ...PLACE, bytes: 9e15 }] }),
      head('offset', { segments: [{ ...PLACE, offset: -1 }] }),
      head('topic', { segments: [{ ...PLACE, topic: 'keyed.servers' }] }),
      head('none', { segments: [] }),
      head('unread', { segments: [{ ...PLACE, offset: 9_000_000_000_000_000 }] }),
      head('unread-later', { segments: [{ ...PLACE, offset: 1e6 }], acceptedAt: 9e15 }),
      head('time', { acceptedAt: 1e308 }),
      head('route', { route: 'none' }),
      head('model', { model: 'none', leastVersion: -9e15, wantedGroups: 9e15, step: 9e15 }),
      newHead(newBatch(`${round}-headers`, [headerItem]), putSegment),
      newHead(newBatch(`${round}-path`, [pathItem]), putSegment),
      head('segment', { segments: [putSegment(Buffer.alloc(1_000, 0xff))] }),
      result({ ...PLACE, count: 1e9 }),
      result({ ...PLACE, rest: Array(3_000).fill(PLACE) }),
      {
        type: 'batch-begun',
        batch: `${round}-time`,
        host: 'none',
        incarnation: 'none',
        from: null,
      },
      { type: 'batch-end', batch: 'none' },
      { type: 'piece', id: 'p', index: 0, count: 1e9, data: '' },
      { type: 'piece', id: 'p', index: -1, count: 2, data: '' },
      ...Array.from({ length: PIECES }, (_, index) => ({
        ...{ type: 'piece', id: `${round}-endless`, index, count: 1_000 },
        data: Buffer.alloc(PIECE_BYTES).toString('base64'),
      })),
      ...[NESTED.slice(0, 150_000), NESTED.slice(150_000)].map((half, index) => ({
        ...{ type: 'piece', id: `${round}-deep`, index, count: 2 },
        data: Buffer.from(half).toString('base64'),
      })),
      NESTED,
      '',
      '{"type":"result"',
    ];
  };

  const putOdd = (round: string): void => {
    Object.entries(listKeyedOdd()).forEach(([topic, entries]) => {
      memory.put(topic, [
        ...entries.map(([key, value]) => encodeKeyedBody(key, value)),
        Buffer.from('\u007fengine-detroit-0'),
        Buffer.alloc(0),
      ]);
    });
    memory.put('keyed.servers', [Buffer.from('\u007fengine-detroit-0')]);
    memory.put('batches', listOddBatches(round).map(toBody));
    memory.put('parts', listOddParts().map(toBody));
  };

  const countRejected = async (host: TestHost, source: string): Promise<number> => {
    const text = await (await request(`http://${host.metrics}/metrics`)).body.text();
    return Number(new RegExp(`^values_unreadable_of_${source} (\\d+)$`, 'm').exec(text)?.[1]);
  };

  putOdd('early');
  await sleep(SETTLE_MS);
  t.true(areAlive(), 'hosts that run');
  t.is((await submitUntilKnown(first, 'b1', batchBody('b1', 2, 2))).status, 202);
  t.true((await readAllResults(second, 'b1')).results.every(({ state }) => state === 'completed'));
  const late = await system.start('host-late', 'detroit');
  await waitUntil(() => late.events.some(({ event }) => event === 'upstream.listed'));
  platform.publishVersion(2);
  putOdd('late');
  await sleep(SETTLE_MS);
  t.true(areAlive(), 'and one that starts late');
  await waitUntil(() => platform.engines.every(({ versions }) => versions.get(MODEL) === 2));
  for (const [index, host] of [first, second, third, late].entries()) {
    t.is((await send(host, 'POST', '/lookup/7', { id: `l${index}`, body: 'x' })).status, 200);
    const id = `c${index}`;
    t.is((await submitUntilKnown(host, id, batchBody(id, 2, 2, 2))).status, 202);
    const { results } = await readAllResults(index === 0 ? late : first, id);
    t.true(results.every(({ state }) => state === 'completed'));
  }
  for (const source of ['settings', 'versions', 'evacuations', 'crashes', 'batches']) {
    for (const host of [first, second, third]) {
      t.true((await countRejected(host, source)) > 0, `${source} at ${host.name}`);
    }
  }
  // Read by the hosts that run batches only.
  const parts = await Promise.all(system.hosts.map((host) => countRejected(host, 'parts')));
  t.true(
    parts.some((count) => count > 0),
    'parts',
  );
  t.true(areAlive());
});
