import newMetrics from '@cyclamengate/common/newMetrics';
import newOddValues from '@cyclamengate/common/newOddValues';
import newAllowedLags from '@cyclamengate/engines/newAllowedLags';
import { newManualClock } from '@cyclamengate/fakes/newManualClock';
import { ODD_VALUES, replaceMember } from '@cyclamengate/fakes/oddJson';
import test from 'ava';
import fc from 'fast-check';
import { batchRecordSchema, partSchema } from '../src/batchRecord.js';
import type { Item } from '../src/batchRecord.js';
import newBatches from '../src/newBatches.js';
import newDemands from '../src/newDemands.js';
import newPartialTexts from '../src/newPartialTexts.js';
import newRecordReader from '../src/newRecordReader.js';
import newTextCache from '../src/newTextCache.js';
import newWantedGroups from '../src/newWantedGroups.js';
import planTextRead from '../src/planTextRead.js';
import { encodeRecord, newRecordAssembler } from '../src/recordPieces.js';
import { parseSegment } from '../src/requestSegment.js';
import { recordPlaces, textBytes } from '../src/textRecords.js';
import { newBatch, newItem, newStoredBatch, silentLog } from './helpers.js';

const TEST_TIMEOUT_MS = 120_000;
const RUNS = 200;
const PIECE_BYTES = 140_000;
const MAX_TEXT_RECORDS = 5_000;

const place = { topic: 'texts-1', offset: 3, count: 1, bytes: 5 };

const headOf = (id: string, model = 'x') =>
  newStoredBatch(newBatch(id, [newItem('1')], { model })).head;

const resultOf = (batch: string) => ({
  type: 'result',
  batch,
  item: '1',
  state: 'completed',
  text: place,
  versions: [1],
  score: null,
});

const partOf = (item: string) => ({
  type: 'part',
  batch: 'good',
  item,
  writer: 'a',
  from: 0,
  events: ['one'],
  lastEventId: '1',
  versions: [1],
  isWhole: false,
});

/** One host's readers of both topics, with all that they feed. */
const newHost = () => {
  const clock = newManualClock();
  const metrics = newMetrics();
  const oddValues = newOddValues(clock, silentLog, metrics);
  const parts = newPartialTexts(clock);
  const batches = newBatches({ clock, retentionMs: 120_000, parts });
  const demands = newDemands();
  const lags = newAllowedLags();
  batches.onAccepted(({ batch: { model, step, leastVersion }, items }) => {
    demands.apply({ model, step, items: items.values() });
    if (model !== null) lags.set(model, 1, leastVersion);
  });
  const readBatches = newRecordReader({
    oddValues,
    topic: 'batches',
    schema: batchRecordSchema,
    apply: batches.apply,
  });
  const readParts = newRecordReader({
    oddValues,
    topic: 'parts',
    schema: partSchema,
    apply: parts.apply,
  });
  const readAll = (bodies: Buffer[]): void => {
    const records = bodies.map((body, offset) => ({ offset, body }));
    readBatches(records);
    readParts(records);
  };
  return { clock, metrics, parts, batches, demands, readAll };
};

const oddValue = fc.oneof(fc.constantFrom(...ODD_VALUES), fc.jsonValue({ maxDepth: 4 }));

const sound = fc.constantFrom<unknown>(
  headOf('odd', 'odd'),
  headOf('odd-2', 'x'),
  resultOf('odd'),
  partOf('odd'),
  { type: 'batch-end', batch: 'odd' },
  { type: 'batch-begun', batch: 'odd', host: 'h', incarnation: 'i', from: null },
  { type: 'piece', id: 'p', index: 0, count: 2, data: 'e30=' },
  { type: 'piece', id: 'p', index: 1, count: 2, data: 'e30=' },
);

const oddRecord = fc.oneof(
  fc
    .tuple(sound, fc.array(fc.nat(20), { minLength: 1, maxLength: 4 }), oddValue)
    .map(([record, path, value]) =>
      Buffer.from(JSON.stringify(replaceMember(record, path, value))),
    ),
  fc.uint8Array({ maxLength: 64 }).map((bytes) => Buffer.from(bytes)),
  fc.constantFrom('[', '{"a":').map((open) => Buffer.from(open.repeat(100_000))),
  fc
    .constantFrom('texts', 'expectedTokens', 'offset')
    .map((name) => Buffer.from(`{"type":"result","${name}":1e999}`)),
  sound.map((record) => Buffer.from(JSON.stringify(record)).subarray(0, 40)),
);

test('odd records of batches and parts cost themselves alone', (t) => {
  // Guards against a host that ends, or that knows a batch no more, since another program wrote a
  // record among those of the hosts.
  t.timeout(TEST_TIMEOUT_MS);
  const good = [headOf('good'), partOf('1'), resultOf('good'), headOf('open')].map((record) =>
    Buffer.from(JSON.stringify(record)),
  );
  fc.assert(
    fc.property(fc.array(fc.array(oddRecord, { maxLength: 6 }), { minLength: 5 }), (odd) => {
      const { clock, parts, batches, demands, readAll, metrics } = newHost();
      readAll(odd.flatMap((records, index) => [...records, ...good.slice(index, index + 1)]));
      t.is(batches.get('good')?.results.length, 1);
      t.is(batches.get('open')?.items.size, 1);
      t.true(batches.open().some(({ batch }) => batch.id === 'open'));
      const isWanted = newWantedGroups();
      batches.open().forEach((state) => {
        t.true(state.batch.acceptedAt <= clock.wallTime());
        [...state.items.values()].forEach(({ group }) => isWanted(state, group));
        const places = [...state.segments, ...state.results.map(({ text }) => text)];
        const records = places.flatMap(recordPlaces);
        t.true(records.length <= MAX_TEXT_RECORDS);
        t.true(records.every(({ offset, bytes }) => offset >= 0 && bytes >= 0));
        t.true(places.every((text) => textBytes(text) >= 0));
        const [first] = records;
        if (first) planTextRead(records, first, { maxKb: 512, mayStartEarlier: false });
      });
      const demand = demands.demandOf('x', ['x', 'odd']);
      t.true(Number.isFinite(demand) && demand > 0);
      parts.evictExpired();
      t.false(
        metrics.text().includes('values_broken'),
        'the code behind the schema bears all of it',
      );
    }),
    { numRuns: RUNS },
  );
});

test('a request that no engine can be sent is no request of a segment', (t) => {
  // Guards against engines that are taken for broken, since a request of another program can't be sent
  // to any.
  const odd: Partial<Item>[] = [
    { id: '' },
    { id: 'a\nb' },
    { path: 'no-slash' },
    { path: '/a b' },
    { path: '/a\r\nb: c' },
    { headers: { 'x y': '1' } },
    { headers: { x: 'a\r\nb' } },
    { headers: { x: 'ά' } },
    { scoring: { id: 's', hostName: 'a\nb', path: '/', body: '' } },
    { scoring: { id: 's', hostName: 'a', path: '', body: '' } },
  ];
  const parse = (item: Item) => {
    const { head, read } = newStoredBatch(newBatch('b', [item]));
    return parseSegment(read(head.segments[0] ?? null));
  };
  t.is(parse(newItem('1'))?.length, 1);
  odd.forEach((changes) => t.is(parse(newItem('1', changes)), null, JSON.stringify(changes)));
  const head = headOf('b');
  t.true(batchRecordSchema.safeParse(head).success);
  t.false(batchRecordSchema.safeParse({ ...head, hostName: 'a\nb' }).success);
  t.false(batchRecordSchema.safeParse({ ...head, customer: 'a\nb' }).success);
});

test('records that are written in pieces without an end take no room for good', (t) => {
  // Guards against a host whose memory another program fills with pieces.
  const dropped = new Map<string, number>();
  const assemble = newRecordAssembler((reason) =>
    dropped.set(reason, (dropped.get(reason) ?? 0) + 1),
  );
  const data = Buffer.alloc(PIECE_BYTES).toString('base64');
  const piece = (id: string, index: number, count: number): unknown =>
    assemble({ type: 'piece', id, index, count, data });
  Array.from({ length: 1_024 }, (_, index) => piece('endless', index, 1_024));
  t.is(dropped.get('too-large'), 1);
  Array.from({ length: 400 }, (_, index) => piece(`begun-${index}`, 0, 2));
  t.true((dropped.get('never-complete') ?? 0) >= 400 - 64);
  piece('gap', 0, 3);
  piece('gap', 2, 3);
  piece('count', 0, 3);
  piece('count', 1, 4);
  t.is(dropped.get('out-of-order'), 2);
  const batch = newBatch('good', [newItem('1', { body: 'x'.repeat(500_000) })]);
  const read = encodeRecord(batch, 'good').map((body) => assemble(JSON.parse(body.toString())));
  t.deepEqual(read.at(-1), batch);
});

test('a record in pieces is no deeper than any other', (t) => {
  // Guards against nesting that the code behind the reader can't bear, hidden in pieces.
  const reasons: string[] = [];
  const assemble = newRecordAssembler((reason) => reasons.push(reason));
  const nested = '['.repeat(100_000) + ']'.repeat(100_000);
  const halves = [nested.slice(0, 150_000), nested.slice(150_000)];
  const found = halves.map((half, index) =>
    assemble({
      type: 'piece',
      id: 'deep',
      index,
      count: 2,
      data: Buffer.from(half).toString('base64'),
    }),
  );
  t.deepEqual(found, [null, null]);
  t.deepEqual(reasons, ['too-deep']);
});

test('a piece that states an odd index or count is no record', (t) => {
  const { metrics, readAll } = newHost();
  const odd = [
    { index: -1, count: 2 },
    { index: 0, count: 1e9 },
    { index: 0, count: 0 },
    { index: 0.5, count: 2 },
    { index: 9e15, count: 9e15 },
  ];
  readAll(
    odd.map((fields) =>
      Buffer.from(JSON.stringify({ type: 'piece', id: 'p', data: 'e30=', ...fields })),
    ),
  );
  t.true(metrics.text().includes('values_unreadable_of_batches 5'));
});

test('empty events and texts are bounded as long ones are', (t) => {
  // Guards against a host whose memory another program fills with parts that have no characters.
  const texts = newPartialTexts(newManualClock());
  const part = partSchema.parse({ ...partOf('0'), events: Array(60_000).fill('') });
  Array.from({ length: 60 }, (_, item) => texts.apply({ ...part, item: String(item) }));
  const kept = Array.from({ length: 60 }, (_, item) => texts.get(String(item)) !== undefined);
  t.true(kept.filter(Boolean).length <= 34);
  t.true(kept.at(-1));
  Array.from({ length: 60 }, (_, index) =>
    texts.apply({ ...part, item: 'endless', from: index * 60_000 }),
  );
  t.true((texts.get('endless')?.progress.events.length ?? 0) <= 2_000_000);
  const cache = newTextCache();
  for (let offset = 0; offset < 60_000; offset += 1) cache.put('texts-1', offset, Buffer.alloc(0));
  t.is(cache.get('texts-1', 0), undefined);
});

test('models that nobody trains do not make the demand grow without end', (t) => {
  // Guards against counts that grow with the square of the models that another program names.
  const demands = newDemands();
  const items = [{ expectedTokens: 100 }];
  for (let step = 0; step < 5_000; step += 1) {
    demands.apply({ model: 'x', step, items });
    demands.apply({ model: `odd-${step}`, step, items });
  }
  t.is(demands.demandOf('x', ['x']), 100);
  t.is(demands.demandOf('odd-0', ['x', 'odd-0']), 100, 'forgotten: as the average');
});
