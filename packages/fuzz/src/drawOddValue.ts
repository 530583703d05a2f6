import fc from 'fast-check';

const LONG_STRING_LENGTH = 20_000;
/** Above what readers bear, up to what the store's largest record holds. */
const MIN_DEPTH = 65;
const MAX_DEPTH = 100_000;
const MAX_LIST_LENGTH = 100_000;

const NUMBERS = [
  ...['0', '-1', '-0', '0.5', '1e-7', '2147483648', '9007199254740991', '9007199254740992'],
  ...['-9007199254740992', '1e21', '1e308', '-1e308', '1e999', '-1e999'],
];
const STRINGS = [
  ...['', ' ', 'a\nb', 'a\r\nb: c', '\0', '"', '\\', '__proto__', 'constructor', 'toString'],
  ...['\ud800', 'é', '0', 'ready', 'x'.repeat(LONG_STRING_LENGTH)],
];
const ADDRESSES = [
  ...['127.0.0.1:0', '127.0.0.1:65536', '127.0.0.1:99999', '256.0.0.1:80', '999.0.0.1:80'],
  ...['127.0.0.1', '127.0.0.1:', ':80', '[::1]:80', 'a.example:80', '127.0.0.1:80/x', '1.2.3:80'],
  ...['127.0.0.1:-1', '127.0.0.1:8e1', '127.0.0.1:80@b:1', ' 127.0.0.1:80'],
];
const OTHERS = [
  ...['null', 'true', 'false', '[]', '{}', '[null]', '[[]]', '{"a":1}', '{"a":1e308}'],
  ...['{"__proto__":{"a":1}}', '{"__proto__":1}', '{"constructor":1}', '{"9007199254740991":{}}'],
  ...['{"1e999":{"a":1}}', '{"-1":{"a":1}}', '{"":{"":1}}'],
];

/** Mostly small, which is as odd and takes less time. */
const drawSize = (min: number, max: number): fc.Arbitrary<number> =>
  fc.oneof(
    fc.integer({ min, max: 1_000 }),
    fc.integer({ min, max: 1_000 }),
    fc.integer({ min, max }),
  );

const drawNested = fc
  .tuple(drawSize(MIN_DEPTH, MAX_DEPTH), fc.boolean())
  .map(([depth, isList]) =>
    isList
      ? '['.repeat(depth) + ']'.repeat(depth)
      : `${'{"":'.repeat(depth / 2)}1${'}'.repeat(depth / 2)}`,
  );
const drawList = fc
  .tuple(fc.constantFrom('0', '""', '{}', 'null'), drawSize(1, MAX_LIST_LENGTH))
  .map(([member, length]) => `[${`${member},`.repeat(length - 1)}${member}]`);

const toText = (text: string): string => JSON.stringify(text);

/** Draws the JSON text of a value that none of our writers puts there; as text, any number can stand. */
const drawOddValue: fc.Arbitrary<string> = fc.oneof(
  { weight: 8, arbitrary: fc.constantFrom(...NUMBERS) },
  { weight: 6, arbitrary: fc.constantFrom(...STRINGS).map(toText) },
  { weight: 5, arbitrary: fc.constantFrom(...ADDRESSES).map(toText) },
  { weight: 5, arbitrary: fc.constantFrom(...OTHERS) },
  { weight: 1, arbitrary: drawNested },
  { weight: 1, arbitrary: drawList },
);

export default drawOddValue;
