import newSeededRandom from '@cyclamengate/fakes/newSeededRandom';
import test from 'ava';
import type { ItemFields, ItemRequest, TextRun } from '../src/batchRecord.js';
import newBatchIntake, { MAX_HELD_BYTES } from '../src/newBatchIntake.js';
import { newItemHead } from '../src/newBatchHead.js';
import { parseSegment, toItem } from '../src/requestSegment.js';
import { MAX_APPEND_TEXT_BYTES, textBytes } from '../src/textRecords.js';

const CHUNK_BYTES = 48_000;

interface Sizes {
  item: number;
  scoring: number;
}

const newFields = (id: string): ItemFields => ({
  id,
  path: `/rounds/${id}`,
  headers: { Model: 'x' },
  expectedTokens: 300,
  group: `group of ${id}`,
  scoring: { id: `score of ${id}`, hostName: 'parts.example', path: `/score/${id}` },
});

/** A store that takes parts one after the other, and can refuse one of them. */
const newPartStore = (refusedPart = -1) => {
  const parts: Buffer[] = [];
  const inFlight = { now: 0, most: 0 };
  const writePart = async (part: number, bytes: Buffer): Promise<TextRun | null> => {
    inFlight.now += 1;
    inFlight.most = Math.max(inFlight.most, inFlight.now);
    await new Promise(setImmediate);
    inFlight.now -= 1;
    if (part === refusedPart) return null;
    parts[part] = bytes;
    return { topic: 'texts', offset: part, count: 1, bytes: bytes.length };
  };
  return { parts, inFlight, writePart };
};

/** Takes in items whose bodies arrive in chunks. */
const takeIn = async (store: ReturnType<typeof newPartStore>, sizes: Sizes[]) => {
  const random = newSeededRandom(53);
  const intake = newBatchIntake({ writePart: store.writePart });
  const requests: ItemRequest[] = [];
  for (const [index, { item, scoring }] of sizes.entries()) {
    const bodies = { item: Buffer.alloc(item), scoring: Buffer.alloc(scoring) };
    for (const kind of ['item', 'scoring'] as const) {
      for (let at = 0; at < bodies[kind].length; at += CHUNK_BYTES) {
        const chunk = bodies[kind].subarray(at, at + CHUNK_BYTES).fill(Math.floor(random() * 256));
        intake.addBody(kind, Buffer.from(chunk));
        await intake.ready();
      }
    }
    const fields = newFields(String(index));
    intake.addItem(fields);
    const call = fields.scoring && { ...fields.scoring, body: bodies.scoring };
    requests.push({ ...fields, body: bodies.item, scoring: call });
  }
  return { requests, received: await intake.end() };
};

const repeat = (count: number, sizes: Sizes): Sizes[] => Array.from({ length: count }, () => sizes);

const SHAPES: Record<string, Sizes[]> = {
  'many items': repeat(300, { item: 20_000, scoring: 0 }),
  'one large item': [{ item: 9_000_000, scoring: 0 }],
  'large scoring bodies': repeat(6, { item: 10, scoring: 1_500_000 }),
  'both bodies': repeat(9, { item: 300_000, scoring: 300_000 }),
  'many small items': repeat(9_000, { item: 100, scoring: 20 }),
  'a large one among small ones': [
    ...repeat(10, { item: 10, scoring: 10 }),
    { item: 4_000_000, scoring: 1_200_000 },
    ...repeat(10, { item: 10, scoring: 10 }),
  ],
};

Object.entries(SHAPES).forEach(([shape, sizes]) => {
  test(`a batch of ${shape} is stored in parts of bounded size, and read back as it came`, async (t) => {
    // Guards against a host that holds a large batch as a whole, and against appends that the store
    // does not take.
    const store = newPartStore();
    const { requests, received } = await takeIn(store, sizes);
    if (received.type !== 'stored') throw new Error(received.type);
    t.true(store.parts.every(({ length }) => length <= MAX_APPEND_TEXT_BYTES));
    t.true(store.inFlight.most <= 4);
    const read = received.segments.flatMap((place) => {
      const runs = [place, ...(place.rest ?? [])];
      const segment = Buffer.concat(runs.map(({ offset }) => store.parts[offset] as Buffer));
      t.is(segment.length, textBytes(place));
      return parseSegment(segment) ?? [];
    });
    t.is(read.length, requests.length);
    read.forEach(({ id, body, scoring }, index) => {
      t.is(id, String(requests[index]?.id));
      t.true(body.equals(requests[index]?.body as Buffer));
      t.true(scoring?.body.equals(requests[index]?.scoring?.body as Buffer));
    });
    received.heads.forEach((head, index) => {
      const { segment, ...rest } = newItemHead(toItem(requests[index] as ItemRequest));
      t.like(head, rest);
      t.true(segment <= head.segment && head.segment < received.segments.length);
    });
  });
});

test('a small batch is held, and nothing of it is stored yet', async (t) => {
  const store = newPartStore();
  const { requests, received } = await takeIn(store, repeat(24, { item: 1_000, scoring: 100 }));
  t.deepEqual(received, { type: 'held', items: requests });
  t.is(store.parts.length, 0);
});

test('a batch of which the store refuses a part is not stored, and refused at once', async (t) => {
  // Guards against a batch that is run without some of its requests.
  const store = newPartStore(2);
  const intake = newBatchIntake({ writePart: store.writePart });
  let added = 0;
  while (!intake.hasFailed()) {
    intake.addBody('item', Buffer.alloc(CHUNK_BYTES));
    added += CHUNK_BYTES;
    await intake.ready();
    await new Promise(setImmediate);
  }
  t.true(added < MAX_HELD_BYTES + 4 * MAX_APPEND_TEXT_BYTES);
  intake.addItem(newFields('a'));
  t.deepEqual(await intake.end(), { type: 'not-stored' });
});
