import fc from 'fast-check';
import drawOddValue from './drawOddValue.js';

/** A change of one member of a record. */
export interface Change {
  /** Chooses the member, among all at any depth. */
  place: number;
  way: 'replace' | 'omit' | 'double';
  /** JSON text. */
  value: string;
}

const MAX_CHANGES = 3;

export const drawChanges: fc.Arbitrary<Change[]> = fc.array(
  fc.record({
    place: fc.nat({ max: 63 }),
    way: fc.oneof(
      { weight: 6, arbitrary: fc.constant('replace' as const) },
      { weight: 1, arbitrary: fc.constant('omit' as const) },
      { weight: 1, arbitrary: fc.constant('double' as const) },
    ),
    value: drawOddValue,
  }),
  { minLength: 1, maxLength: MAX_CHANGES },
);

const isNested = (value: unknown): value is object => typeof value === 'object' && value !== null;

/** The paths of all members, at any depth. */
const listPaths = (value: unknown, path: string): string[] =>
  isNested(value)
    ? Object.entries(value).flatMap(([name, member]) => {
        const memberPath = `${path}/${name}`;
        return [memberPath, ...listPaths(member, memberPath)];
      })
    : [];

const writeMember = (
  name: string | null,
  written: string,
  change: Change | undefined,
): string[] => {
  const prefix = name === null ? '' : `${JSON.stringify(name)}:`;
  if (!change) return [prefix + written];
  if (change.way === 'omit') return [];
  const changed = prefix + change.value;
  return change.way === 'double' ? [prefix + written, changed] : [changed];
};

const write = (value: unknown, path: string, changes: Map<string, Change>): string => {
  if (!isNested(value)) return JSON.stringify(value);
  const members = Object.entries(value).flatMap(([name, member]) => {
    const memberPath = `${path}/${name}`;
    const written = write(member, memberPath, changes);
    return writeMember(Array.isArray(value) ? null : name, written, changes.get(memberPath));
  });
  return Array.isArray(value) ? `[${members.join(',')}]` : `{${members.join(',')}}`;
};

/** Writes a record as JSON text, with some of its members changed. */
const changeRecord = (record: object, changes: Change[]): string => {
  const paths = listPaths(record, '');
  const changesByPath = new Map(
    changes.map((change) => [paths[change.place % paths.length] ?? '', change]),
  );
  return write(record, '', changesByPath);
};

export default changeRecord;
