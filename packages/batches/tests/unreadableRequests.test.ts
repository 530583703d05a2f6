import { newManualClock } from '@cyclamengate/fakes/newManualClock';
import newTestMemory from '@cyclamengate/fakes/newTestMemory';
import test from 'ava';
import type { BatchHead } from '../src/batchRecord.js';
import newBatches from '../src/newBatches.js';
import newPartialTexts from '../src/newPartialTexts.js';
import newRequestReader from '../src/newRequestReader.js';
import { formatIndex, parseSegment } from '../src/requestSegment.js';
import { newBatch, newItem, newStoredBatch } from './helpers.js';
import newRunnerHost from './newRunnerHost.js';

const RETENTION_MS = 40_000;

test('a batch whose requests cannot be read ends by its retention, and holds up no other', async (t) => {
  // Guards against a trainer that reads a batch without results for good, and against other batches
  // that wait behind it.
  const { clock, batches, observed, close } = newRunnerHost();
  const acceptedAt = clock.wallTime();
  const odd = newBatch('odd', [newItem('o1'), newItem('o2')], { acceptedAt });
  batches.apply(newStoredBatch(odd).head);
  await clock.advance(2_000);
  batches.begin(newBatch('good', [newItem('g1')], { acceptedAt }));
  batches.markStored('good');
  await clock.advance(5_000);
  t.deepEqual(observed.runs, ['g1']);
  t.is(batches.get('odd')?.results.length, 0);
  await clock.advance(RETENTION_MS);
  t.deepEqual(
    batches.get('odd')?.results.map(({ state }) => state),
    ['abandoned', 'abandoned'],
  );
  await close();
});

test('a whole text whose scoring call cannot be read is abandoned by its retention', async (t) => {
  // Guards against an item that is neither scored nor listed, since only its request is lost.
  const { clock, batches, parts, observed, close } = newRunnerHost();
  const scoring = { id: 's1', hostName: 'parts.example', path: '/score', body: '' };
  const acceptedAt = clock.wallTime();
  const { head } = newStoredBatch(newBatch('odd', [newItem('o1', { scoring })], { acceptedAt }));
  batches.apply({ ...head, segments: [...head.segments, ...head.segments] });
  const whole = { lastEventId: '1', versions: [1], isWhole: true };
  parts.apply({
    ...{ type: 'part', batch: 'odd', item: 'o1', writer: 'dead', from: 0, events: ['one'] },
    ...whole,
  });
  await clock.advance(5_000);
  t.is(batches.get('odd')?.results.length, 0);
  await clock.advance(RETENTION_MS);
  t.is(batches.get('odd')?.results[0]?.state, 'abandoned');
  t.deepEqual(observed.scored, []);
  await close();
});

test('a batch that says it was accepted in the future is not kept for longer', async (t) => {
  // Guards against items that are never abandoned since another program wrote an odd time.
  const { clock, batches, close } = newRunnerHost();
  const odd = newBatch('odd', [newItem('o1')], { acceptedAt: Number.MAX_SAFE_INTEGER });
  batches.apply(newStoredBatch(odd).head);
  await clock.advance(RETENTION_MS + 1_000);
  t.is(batches.get('odd')?.results[0]?.state, 'abandoned');
  await close();
});

test('batches whose route does not exist leave room for others', async (t) => {
  // Guards against items of another program's batches that take every place of a host.
  const { clock, batches, observed, close } = newRunnerHost();
  const acceptedAt = clock.wallTime();
  [0, 1].forEach((number) => {
    const items = Array.from({ length: 12_000 }, (_, index) => newItem(`o${number}-${index}`));
    const { head } = newStoredBatch(newBatch(`odd-${number}`, items.slice(0, 1), { acceptedAt }));
    const heads = items.map(({ id }) => ({ ...head.items[0]!, id }));
    batches.apply({
      ...head,
      route: 'none',
      items: heads,
      segments: [...head.segments, ...head.segments],
    });
  });
  await clock.advance(500);
  batches.begin(newBatch('good', [newItem('g1')], { acceptedAt }));
  await clock.advance(500);
  t.deepEqual(observed.runs, ['g1']);
  await close();
});

/** A reader whose store has a segment without some of the items that the head names. */
const newReader = (missing: string[]) => {
  const clock = newManualClock();
  const lines: string[] = [];
  const record = (event: string): void => {
    lines.push(event);
  };
  const log = { info: record, warn: record, error: record };
  const batches = newBatches({ clock, retentionMs: 120_000, parts: newPartialTexts(clock) });
  const items = ['1', '2'].map((id) => newItem(id));
  const { head, read } = newStoredBatch(newBatch('b', items));
  const extra = missing.map((id) => ({ ...head.items[0]!, id }));
  batches.apply({ ...head, items: [...head.items, ...extra] } satisfies BatchHead);
  let reads = 0;
  const memory = newTestMemory();
  const requests = newRequestReader({
    clock,
    log,
    memory,
    readTexts: async (places) => {
      reads += 1;
      return places.map(read);
    },
  });
  const state = batches.get('b')!;
  return { clock, requests, state, lines, memory, readCount: () => reads };
};

test('an item that its segment lacks is asked for ever more seldom', async (t) => {
  // Guards against a host that reads the same segment ten times a second, with a line each time.
  const { clock, requests, state, lines, readCount } = newReader(['missing']);
  const endsAt = clock.now() + 30_000;
  while (clock.now() < endsAt) {
    t.is(await requests.load(state, 'missing'), null);
    await clock.advance(Math.max(100, requests.retryAt(state, 'missing') - clock.now()));
  }
  t.is(readCount(), 1);
  t.true(lines.length < 25, `${lines.length} lines`);
  t.truthy(await requests.load(state, '2'));
});

test('a segment that is never read is read ever more seldom', async (t) => {
  const { clock, requests, state, readCount } = newReader([]);
  state.segments = [{ topic: 'texts-1', offset: 0, count: 1, bytes: 7 }];
  const endsAt = clock.now() + 30_000;
  while (clock.now() < endsAt) {
    t.false(requests.isLoaded(state));
    await clock.advance(40);
  }
  t.true(readCount() < 25, `${readCount()} reads`);
});

test('a segment whose index points beyond its bodies is none', (t) => {
  // Guards against items that run with other bytes than their sender's.
  const body = Buffer.from('body');
  const segment = (start: number, bytes: number): Buffer =>
    Buffer.concat([
      body,
      formatIndex([
        {
          id: '1',
          path: '/',
          headers: {},
          expectedTokens: null,
          group: 'g',
          scoring: null,
          body: { start, bytes },
          scoringBody: { start: 0, bytes: 0 },
        },
      ]),
    ]);
  t.is(parseSegment(segment(0, 4))?.[0]?.body.toString(), 'body');
  [
    [-4, 4],
    [0, -1],
    [0, 5],
    [4, 1],
    [0, Number.MAX_SAFE_INTEGER],
    [Number.MAX_SAFE_INTEGER, Number.MAX_SAFE_INTEGER],
  ].forEach(([start = 0, bytes = 0]) => t.is(parseSegment(segment(start, bytes)), null));
  t.is(parseSegment(Buffer.alloc(0)), null);
  t.is(parseSegment(Buffer.alloc(4, 0xff)), null);
});
