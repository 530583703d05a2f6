import { encodeKeyedRecord } from '@cyclamengate/adapter/logFormat';
import fc from 'fast-check';
import changeRecord, { drawChanges } from './changeRecord.js';
import newGoodRecords, { FIRST_WINDOW, LEASE_SUBJECT } from './goodRecords.js';
import type { GoodRecord } from './goodRecords.js';
import { isKeyed } from './storeScript.js';
import type { Step, StorePart, StoreScript } from './storeScript.js';

const MAX_COMMANDS = 24;
/** Members live 1,600 ms without a heartbeat; all reads of a script take less. */
const MAX_READS = 4;
const MAX_PIECES = 3;
const CHOICES = 8;
const INDEXES = 3;
const LONG_KEY_LENGTH = 200;
const ODD_KEYS = [
  ...[
    'odd-0',
    'odd-1',
    '',
    '__proto__',
    'constructor',
    'a\nb',
    'é',
    ' ',
    'x'.repeat(LONG_KEY_LENGTH),
  ],
];

const often = <T>(weight: number, value: T) => ({ weight, arbitrary: fc.constant(value) });

/** One step as it is drawn; what a kind has no use for is passed over. */
const drawCommand = fc.record({
  kind: fc.oneof(
    often(8, 'good' as const),
    often(8, 'odd' as const),
    often(1, 'overwrite' as const),
    often(1, 'pieces' as const),
    often(1, 'delete' as const),
    often(1, 'wrong-length' as const),
    often(1, 'raw' as const),
    often(2, 'read' as const),
    often(1, 'expire' as const),
  ),
  choice: fc.nat({ max: CHOICES - 1 }),
  index: fc.nat({ max: INDEXES - 1 }),
  key: fc.constantFrom(...ODD_KEYS),
  changes: drawChanges,
  count: fc.constantFrom(1, 1, 1, 2, MAX_PIECES),
  order: fc.array(fc.integer({ min: -1, max: MAX_PIECES }), { minLength: 1, maxLength: 4 }),
  bytes: fc.uint8Array({ minLength: 1, maxLength: 64 }),
});

type Command = typeof drawCommand extends fc.Arbitrary<infer T> ? T : never;

const newPiece = (id: string, text: string, index: number, count: number): Buffer => {
  const bytes = Buffer.from(text);
  const size = Math.ceil(bytes.length / count);
  const data = bytes.subarray(index * size, (index + 1) * size).toString('base64');
  return Buffer.from(JSON.stringify({ type: 'piece', id, index, count, data }));
};

const OWN_NAMES = ['host', 'incarnation', 'id', 'batch', 'item', 'digest', 'model', 'writer'];

/** A well-formed record under names of its own, so that a change of it concerns no good one. */
const rename = (source: object, key: string): object => {
  const own = Object.fromEntries(
    Object.entries(source).map(([name, value]) => {
      if (name === 'subject') return [name, `odd ${LEASE_SUBJECT}`];
      if (name === 'window') return [name, FIRST_WINDOW + INDEXES];
      return OWN_NAMES.includes(name) ? [name, `odd-${key}-${String(value)}`] : [name, value];
    }),
  );
  if ('usage' in own) own.usage = { [FIRST_WINDOW]: { other: 1 } };
  // Older than any other, so that it replaces none unless its version is changed.
  if ('routes' in own) own.version = 0;
  if ('items' in own) own.items = (own.items as object[]).map((item) => rename(item, key));
  return own;
};

/** The key under which an odd record stands; the operator's kinds of records are told by it. */
const ownKey = (key: string, odd: string): string => {
  if (key === 'config') return key;
  return key.includes('/') ? key.replace(/\/.*/, `/${odd}`) : odd;
};

/** A well-formed record on which an odd one is modelled. */
const newModel = (part: StorePart, { choice, index }: Command): GoodRecord => {
  const next = newGoodRecords(part);
  // The first records of a part may be deletions, or a batch that others need.
  next(0, index);
  const good = next(choice, index);
  return good.record === null ? next(CHOICES - 3, index) : good;
};

/** Turns commands into the steps of a script. */
const newSteps = (part: StorePart, commands: Command[]): Step[] => {
  const nextGood = newGoodRecords(part);
  let pieceIds = 0;

  const encode = (topic: string, key: string, text: string | null, count: number): Buffer[] => {
    if (isKeyed(topic)) return [encodeKeyedRecord(key, text === null ? null : Buffer.from(text))];
    // The offset in a claim is filled in when it is written.
    if (count === 1 || key === 'lease') return [Buffer.from(text ?? '')];
    pieceIds += 1;
    const id = `p${pieceIds}`;
    return Array.from({ length: count }, (_, index) => newPiece(id, text ?? '', index, count));
  };

  const newGood = ({ choice, index, count }: Command): Step => {
    const fact = nextGood(choice, index);
    const text = fact.record && JSON.stringify(fact.record);
    const bodies = encode(fact.topic, fact.key, text, count);
    return { type: 'write', topic: fact.topic, bodies, fact };
  };

  const newOddBodies = (command: Command, { topic, key, record }: GoodRecord): Buffer[] => {
    const { kind, changes, count, order, bytes } = command;
    const isOwn = kind !== 'overwrite' || key === 'config' || !isKeyed(topic);
    const changed = isOwn ? rename(record ?? {}, command.key) : (record ?? {});
    const text = changeRecord(changed, kind === 'wrong-length' ? [] : changes);
    const writtenKey = isOwn ? ownKey(key, command.key) : key;
    if (kind === 'raw') return [Buffer.from(bytes)];
    if (kind === 'delete') return encode(topic, command.key, null, 1);
    if (kind === 'pieces' && !isKeyed(topic)) {
      pieceIds += 1;
      return order.map((index) => newPiece(`p${pieceIds}`, text, index, MAX_PIECES));
    }
    const bodies = encode(topic, writtenKey, text, count);
    if (kind === 'wrong-length') bodies[0]?.set(bytes.subarray(0, 1));
    return bodies;
  };

  return commands.map((command): Step => {
    const { kind } = command;
    if (kind === 'read' || kind === 'expire') return { type: kind };
    if (kind === 'good') return newGood(command);
    const model = newModel(part, command);
    return { type: 'write', topic: model.topic, bodies: newOddBodies(command, model), fact: null };
  });
};

/** Hosts read before records expire, too. */
const isReadTooMany = (steps: Step[], index: number): boolean =>
  steps[index]?.type !== 'write' &&
  steps.slice(0, index).filter(({ type }) => type !== 'write').length >= MAX_READS;

/** Draws a script for one part of the store: well-formed records with odd ones between them. */
const drawStoreScript = (part: StorePart): fc.Arbitrary<StoreScript> =>
  fc
    .array(drawCommand, { minLength: 1, maxLength: MAX_COMMANDS, size: 'max' })
    .map((commands) => newSteps(part, commands))
    .map((steps) => ({ part, steps: steps.filter((_, index) => !isReadTooMany(steps, index)) }));

export default drawStoreScript;
