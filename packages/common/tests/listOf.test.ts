import test from 'ava';
import { z } from 'zod';
import listOf from '../src/listOf.js';
import recordOf from '../src/recordOf.js';

const MANY = 100_000;

const member = z.object({ id: z.string(), weight: z.number().default(1) });

test('a list and a record are read as those of the schema library', (t) => {
  const values = [
    ...[[], {}, null, 7, [{ id: 'a' }], { a: { id: 'a', weight: 2 }, constructor: { id: 'c' } }],
    ...[[{ id: 'a', more: 1 }, { id: 'b' }], [undefined], { a: undefined }],
    JSON.parse('{"__proto__":{"id":"x"},"a":{"id":"a"}}'),
  ];
  values.forEach((value) => {
    const list = z.array(member).safeParse(value);
    const record = z.record(z.string(), member).safeParse(value);
    t.deepEqual(listOf(member).safeParse(value).data, list.data);
    t.deepEqual(recordOf(member).safeParse(value).data, record.data);
    t.is(listOf(member).safeParse(value).success, list.success);
    t.is(recordOf(member).safeParse(value).success, record.success);
  });
});

test('a list with many wrong members has the problems of one', (t) => {
  // Guards against problems that take a thousand times the memory of the list that has them.
  const list = z.object({ list: listOf(member) });
  const wrong = { list: [{ id: 'a' }, ...Array<unknown>(MANY).fill({ id: 1, weight: 'x' })] };
  const issues = list.safeParse(wrong).error?.issues ?? [];
  t.deepEqual(
    issues.map(({ path }) => path.join('.')),
    ['list.1.id', 'list.1.weight'],
  );
  t.is(listOf(member, 2).safeParse(wrong.list).error?.issues.length, 1);
  const record = Object.fromEntries(wrong.list.map((value, index) => [`n${index}`, value]));
  t.is(recordOf(member).safeParse(record).error?.issues.length, 2);
  t.is(recordOf(member, z.string().max(1)).safeParse(record).error?.issues.length, 1);
});
