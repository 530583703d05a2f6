import test from 'ava';
import { z } from 'zod';
import parseJson from '../src/parseJson.js';
import { formatProblems, restore } from '../src/restore.js';

const nest = (depth: number, open = '[', close = ']'): string =>
  open.repeat(depth) + close.repeat(depth);

test('JSON that is nested deeper than any message is not read', (t) => {
  // Guards against code that checks, words or logs a value and runs out of stack.
  t.true(parseJson(nest(64)).ok);
  [nest(65), nest(100_000), nest(100_000, '{"a":', '}'), `{"a":${nest(65)}}`].forEach((text) => {
    t.is(parseJson(text).val, 'too-deep');
  });
});

test('JSON with more values than any message has is not read', (t) => {
  // Guards against a text of some megabytes that takes all the memory of a host.
  const texts = ['{},', '[],', '0,', '"",'].map((value) => `[${value.repeat(1_000_000)}0]`);
  texts.forEach((text) => t.is(parseJson(text).val, 'too-many-values'));
  t.true(parseJson(`[${'{},'.repeat(200_000)}0]`).ok);
  t.true(parseJson(JSON.stringify([','.repeat(1_000_000)])).ok, 'commas within strings');
});

test('brackets within strings are no depth', (t) => {
  // Guards against refusing a text for what a customer wrote in it.
  const texts = ['['.repeat(500), `\\"${'{'.repeat(500)}`, '\\\\', '"', `"\\${'['.repeat(99)}`];
  texts.forEach((text) => {
    const json = JSON.stringify({ text, list: [text, [text]] });
    const parsed = parseJson(json);
    t.deepEqual(parsed.ok && parsed.val, { text, list: [text, [text]] });
  });
});

test('what is no JSON is told from what is too deep', (t) => {
  // Guards against a scan that fails, or never ends, on a string without an end.
  ['', '{', '"', '"\\', '"\\"', '[1,', 'nothing', '\u0000'].forEach((text) => {
    t.is(parseJson(text).val, 'not-json');
  });
});

test('a rejection is worded shortly, whatever was found', (t) => {
  // Guards against an end of the process, or a long stall, while the reason of a rejection is worded.
  let deep: unknown = 1;
  for (let depth = 0; depth < 100_000; depth += 1) deep = [deep];
  const schema = z.object({ a: z.array(z.int()).or(z.int()), b: z.string() });
  [deep, { a: deep, b: deep }, { a: 'x'.repeat(1_000_000), b: Array(100_000).fill({}) }].forEach(
    (value) => {
      const restored = restore(schema, value);
      t.false(restored.ok);
      t.true(!restored.ok && formatProblems(restored.val).length < 2_000);
    },
  );
  const many = restore(z.array(z.int()), Array(100_000).fill('x'));
  t.true(!many.ok && many.val.length > 0 && formatProblems(many.val).length < 10_000);
});
