import { encodeKeyedRecord } from '@cyclamengate/adapter/logFormat';
import fc from 'fast-check';
import changeRecord, { drawChanges } from './changeRecord.js';
import type { Change } from './changeRecord.js';
import newGoodRecords, { FIRST_WINDOW, LEASE_SUBJECT } from './goodRecords.js';
import type { GoodRecord } from './goodRecords.js';
import { isKeyed } from './storeScript.js';
import type { Step, StorePart, StoreScript, Write } from './storeScript.js';

const MAX_COMMANDS = 24;
/** Members live 1,600 ms without a heartbeat; all reads of a script take less. */
export const MAX_READS = 5;
const MAX_PIECES = 3;
const MAX_RAW_BYTES = 64;
const CHOICES = 8;
const INDEXES = 3;
const ODD_KEYS = [
  'odd-0',
  'odd-1',
  '',
  '__proto__',
  'constructor',
  'a\nb',
  'é',
  ' ',
  'x'.repeat(200),
];

/** What an odd record is made of: a well-formed one whose names are of no good record. */
interface Target {
  choice: number;
  index: number;
  key: string;
}

type Command =
  | { type: 'good'; choice: number; index: number; pieces: number }
  | { type: 'odd'; target: Target; changes: Change[]; pieces: number }
  | { type: 'overwrite'; choice: number; index: number; changes: Change[] }
  | { type: 'pieces'; target: Target; changes: Change[]; order: number[] }
  | { type: 'delete'; key: string }
  | { type: 'wrong-length'; target: Target; length: number }
  | { type: 'raw'; bytes: Uint8Array; index: number }
  | { type: 'read' }
  | { type: 'expire' };

const drawChoice = fc.nat({ max: CHOICES - 1 });
const drawIndex = fc.nat({ max: INDEXES - 1 });
const drawPieces = fc.oneof(
  { weight: 3, arbitrary: fc.constant(1) },
  { weight: 1, arbitrary: fc.integer({ min: 2, max: MAX_PIECES }) },
);
const drawTarget = fc.record({
  choice: drawChoice,
  index: drawIndex,
  key: fc.constantFrom(...ODD_KEYS),
});

const record = <T extends Command['type'], R extends object>(
  type: T,
  model: { [K in keyof R]: fc.Arbitrary<R[K]> },
) => fc.record({ type: fc.constant(type), ...model }) as unknown as fc.Arbitrary<Command>;

const drawCommand: fc.Arbitrary<Command> = fc.oneof(
  {
    weight: 8,
    arbitrary: record('good', { choice: drawChoice, index: drawIndex, pieces: drawPieces }),
  },
  {
    weight: 8,
    arbitrary: record('odd', { target: drawTarget, changes: drawChanges, pieces: drawPieces }),
  },
  {
    weight: 1,
    arbitrary: record('overwrite', { choice: drawChoice, index: drawIndex, changes: drawChanges }),
  },
  {
    weight: 1,
    arbitrary: record('pieces', {
      target: drawTarget,
      changes: drawChanges,
      order: fc.array(fc.integer({ min: -1, max: MAX_PIECES }), { minLength: 1, maxLength: 4 }),
    }),
  },
  { weight: 1, arbitrary: record('delete', { key: fc.constantFrom(...ODD_KEYS) }) },
  { weight: 1, arbitrary: record('wrong-length', { target: drawTarget, length: fc.nat(255) }) },
  {
    weight: 1,
    arbitrary: record('raw', {
      bytes: fc.uint8Array({ maxLength: MAX_RAW_BYTES }),
      index: drawIndex,
    }),
  },
  { weight: 2, arbitrary: fc.constant({ type: 'read' as const }) },
  { weight: 1, arbitrary: fc.constant({ type: 'expire' as const }) },
);

const newPiece = (id: string, text: string, index: number, count: number): Buffer => {
  const bytes = Buffer.from(text);
  const size = Math.ceil(bytes.length / count);
  const data = bytes.subarray(index * size, (index + 1) * size).toString('base64');
  return Buffer.from(JSON.stringify({ type: 'piece', id, index, count, data }));
};

const OWN_NAMES = ['host', 'incarnation', 'id', 'batch', 'item', 'digest', 'model', 'writer'];

/** A well-formed record under names of its own, so that a change of it may concern no good one. */
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
const ownKey = ({ key }: GoodRecord, odd: string): string => {
  const slash = key.indexOf('/');
  return slash === -1 ? odd : `${key.slice(0, slash + 1)}${odd}`;
};

/** Turns commands into the steps of a script. */
const newSteps = (part: StorePart, commands: Command[]): Step[] => {
  const nextGood = newGoodRecords(part);
  let pieceIds = 0;
  let reads = 0;

  const encode = (good: GoodRecord, key: string, text: string | null, pieces: number): Buffer[] => {
    if (isKeyed(good.topic))
      return [encodeKeyedRecord(key, text === null ? null : Buffer.from(text))];
    // The offset in a claim is filled in when it is written.
    if (pieces <= 1 || good.key === 'lease') return [Buffer.from(text ?? '')];
    pieceIds += 1;
    const id = `p${pieceIds}`;
    return Array.from({ length: pieces }, (_, index) => newPiece(id, text ?? '', index, pieces));
  };

  const newOddSource = ({ choice, index }: Pick<Target, 'choice' | 'index'>): GoodRecord => {
    const source = newGoodRecords(part);
    // The first records of a script fit no other: a deletion, or a batch.
    source(0, index);
    const good = source(choice, index);
    return good.record === null ? source(CHOICES - 3, index) : good;
  };

  const newOddText = (good: GoodRecord, key: string, changes: Change[]): string =>
    changeRecord(rename(good.record ?? {}, key), changes);

  const newWrite = (topic: string, bodies: Buffer[]): Write => ({
    type: 'write',
    topic,
    bodies,
    fact: null,
  });

  const newOdd = (target: Target, changes: Change[], pieces: number): Write => {
    const source = newOddSource(target);
    const key = source.key === 'config' ? 'config' : ownKey(source, target.key);
    const text = newOddText(source, target.key, changes);
    return newWrite(source.topic, encode(source, key, text, pieces));
  };

  const newPieces = (target: Target, changes: Change[], order: number[]): Write => {
    const source = newOddSource(target);
    const text = newOddText(source, target.key, changes);
    if (isKeyed(source.topic)) return newOdd(target, changes, 1);
    pieceIds += 1;
    const bodies = order.map((index) => newPiece(`p${pieceIds}`, text, index, MAX_PIECES));
    return newWrite(source.topic, bodies);
  };

  const newStep = (command: Command): Step => {
    switch (command.type) {
      case 'good': {
        const good = nextGood(command.choice, command.index);
        const text = good.record && JSON.stringify(good.record);
        const bodies = encode(good, good.key, text, command.pieces);
        return { ...newWrite(good.topic, bodies), fact: good };
      }
      case 'odd':
        return newOdd(command.target, command.changes, command.pieces);
      case 'overwrite': {
        const source = newOddSource(command);
        // A manifest stands under the one key that there is, with a version of its own.
        if (!isKeyed(source.topic) || source.key === 'config') {
          return newOdd({ ...command, key: 'odd-0' }, command.changes, 1);
        }
        const text = changeRecord(source.record ?? {}, command.changes);
        return newWrite(source.topic, encode(source, source.key, text, 1));
      }
      case 'pieces':
        return newPieces(command.target, command.changes, command.order);
      case 'delete': {
        const { topic } = newOddSource({ choice: 2, index: 0 });
        const body = isKeyed(topic) ? encodeKeyedRecord(command.key, null) : Buffer.alloc(0);
        return newWrite(topic, [body]);
      }
      case 'wrong-length': {
        const write = newOdd(command.target, [], 1);
        const body = write.bodies[0] ?? Buffer.alloc(0);
        return {
          ...write,
          bodies: [Buffer.from([command.length, ...body.subarray(1)])],
        };
      }
      case 'raw':
        return newWrite(newOddSource({ choice: CHOICES - 1, index: command.index }).topic, [
          Buffer.from(command.bytes),
        ]);
      default:
        return command;
    }
  };

  const isKept = (step: Step): boolean => {
    if (step.type === 'read') reads += 1;
    return step.type !== 'read' || reads <= MAX_READS;
  };

  return commands.map(newStep).filter(isKept);
};

/** Draws a script for one part of the store: well-formed records with odd ones between them. */
const drawStoreScript = (part: StorePart): fc.Arbitrary<StoreScript> =>
  fc
    .array(drawCommand, { minLength: 1, maxLength: MAX_COMMANDS, size: 'max' })
    .map((commands) => ({ part, steps: newSteps(part, commands) }));

export default drawStoreScript;
