import { newManualClock } from '@cyclamengate/fakes/newManualClock';
import newTestMemory from '@cyclamengate/fakes/newTestMemory';
import test from 'ava';
import newBatches from '../src/newBatches.js';
import newPartialTexts from '../src/newPartialTexts.js';
import { encodeRecord, newRecordAssembler } from '../src/recordPieces.js';
import { newBatch, newItem } from './helpers.js';

const newFixture = () => {
  const clock = newManualClock();
  return {
    clock,
    batches: newBatches({ clock, retentionMs: 120_000, parts: newPartialTexts(clock) }),
  };
};

const result = (batch: string, item: string, topic: string) => ({
  type: 'result' as const,
  batch,
  item,
  state: 'completed' as const,
  text: { topic, offset: 0, count: 1, bytes: 5 },
  versions: [1],
  score: null,
});

test('a batch that is sent twice is accepted once', (t) => {
  // The response to the first request is lost, and the trainer sends the batch to another host.
  const { batches } = newFixture();
  batches.apply(newBatch('b', [newItem('1')]));
  batches.apply(newBatch('b', [newItem('1'), newItem('2')]));
  t.is(batches.get('b')?.items.size, 1);
});

test('of two results of an item the first takes effect on every host', (t) => {
  // Two hosts both run the batch and finish the item.
  const { batches } = newFixture();
  batches.apply(newBatch('b', [newItem('1'), newItem('2')]));
  batches.apply(result('b', '2', 'first'));
  batches.apply(result('b', '1', 'one'));
  batches.apply(result('b', '2', 'second'));
  t.deepEqual(
    batches.get('b')?.results.map(({ item, text }) => [item, text?.topic]),
    [
      ['2', 'first'],
      ['1', 'one'],
    ],
  );
});

test('a result of an unknown item or batch changes nothing', (t) => {
  const { batches } = newFixture();
  batches.apply(newBatch('b', [newItem('1')]));
  batches.apply(result('b', 'foreign', 'x'));
  batches.apply(result('other', '1', 'x'));
  t.is(batches.get('b')?.results.length, 0);
});

test('a batch is retained as long as it may be read, then evicted', async (t) => {
  const { clock, batches } = newFixture();
  batches.apply(newBatch('b', [newItem('1')], { acceptedAt: clock.wallTime() }));
  batches.apply({ type: 'batch-end', batch: 'b' });
  await clock.advance(119_000);
  batches.apply(newBatch('c', [newItem('1')], { acceptedAt: clock.wallTime() }));
  t.truthy(batches.get('b'));
  await clock.advance(120_000);
  batches.apply(newBatch('d', [newItem('1')], { acceptedAt: clock.wallTime() }));
  t.is(batches.get('b'), undefined);
});

test('a batch that its sender has not ended can still be read', async (t) => {
  // Guards against 404 for a batch that is open: it was forgotten 1.5 times `status-s` after its 202.
  const { clock, batches } = newFixture();
  batches.apply(newBatch('b', [newItem('1')], { acceptedAt: clock.wallTime() }));
  await clock.advance(600_000);
  batches.apply(newBatch('c', [newItem('1')], { acceptedAt: clock.wallTime() }));
  t.truthy(batches.get('b'));
  batches.apply({ type: 'batch-end', batch: 'b' });
  batches.apply(newBatch('d', [newItem('1')], { acceptedAt: clock.wallTime() }));
  t.is(batches.get('b'), undefined);
});

test('a large batch is split into pieces that are reassembled', (t) => {
  // A step of 512 samples does not fit into one record of the store.
  const items = Array.from({ length: 512 }, (_, index) =>
    newItem(String(index), { body: 'x'.repeat(900) }),
  );
  const batch = newBatch('large', items);
  const pieces = encodeRecord(batch, 'piece-1');
  t.true(pieces.length > 1);
  t.true(pieces.every(({ length }) => length < 262_144));
  const assemble = newRecordAssembler();
  const assembled = pieces.map((piece) => assemble(JSON.parse(piece.toString())));
  t.deepEqual(assembled.at(-1), JSON.parse(JSON.stringify(batch)));
  t.true(assembled.slice(0, -1).every((part) => part === null));
});

test('pieces of a record whose beginning was trimmed are ignored', (t) => {
  // The log starts in the middle of a large record.
  const pieces = encodeRecord(newBatch('b', [newItem('1', { body: 'x'.repeat(500_000) })]), 'p');
  const assemble = newRecordAssembler();
  const assembled = pieces.slice(1).map((piece) => assemble(JSON.parse(piece.toString())));
  t.true(assembled.every((part) => part === null));
});

test('the pieces of records that were written at the same time are told apart', (t) => {
  // Guards against batches that are lost since their heads took several appends each, and those of
  // other hosts lie between them.
  const items = [newItem('1', { body: 'x'.repeat(900_000) })];
  const records = Array.from({ length: 12 }, (_, index) => newBatch(`b${index}`, items));
  const pieces = records.map((record, index) => encodeRecord(record, `p${index}`));
  const assemble = newRecordAssembler();
  const longest = Math.max(...pieces.map(({ length }) => length));
  const found = Array.from({ length: longest }, (_, at) =>
    pieces.map((list) => assemble(JSON.parse(String(list[at])))),
  );
  t.deepEqual(
    found.flat().filter((record) => record !== null),
    records,
  );
});

test('what is known of a batch is counted until the batch is forgotten', async (t) => {
  // Guards against a host that counts batches that it forgot, and refuses all others for good.
  const clock = newManualClock();
  const memory = newTestMemory();
  const parts = newPartialTexts(clock);
  const batches = newBatches({ clock, retentionMs: 120_000, parts, memory });
  t.is(batches.nextEvictionAt(), Number.POSITIVE_INFINITY);
  batches.apply(newBatch('b', [newItem('1'), newItem('2')]));
  const items = memory.heldBytes('metadata');
  t.true(items > 0);
  batches.apply(result('b', '1', 'one'));
  t.true(memory.heldBytes('metadata') > items);
  batches.apply({ type: 'batch-end', batch: 'b' });
  await clock.advance(batches.nextEvictionAt() - clock.now() + 1);
  batches.evictExpired();
  t.is(memory.heldBytes('metadata'), 0);
  batches.begin(newBatch('c', [newItem('1')]));
  batches.withdraw('c');
  t.is(memory.heldBytes('metadata'), 0);
});
