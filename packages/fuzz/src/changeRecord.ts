import fc from 'fast-check';
import drawOddValue from './drawOddValue.js';

/** A change of one member of a record, at any depth. */
export interface Change {
  /** Chooses the member. */
  place: number;
  way: 'replace' | 'omit' | 'double';
  /** JSON text. */
  value: string;
}

const MAX_CHANGES = 3;
const WAYS = ['replace', 'replace', 'replace', 'replace', 'omit', 'double'] as const;

export const drawChanges: fc.Arbitrary<Change[]> = fc.array(
  fc.record({ place: fc.nat({ max: 63 }), way: fc.constantFrom(...WAYS), value: drawOddValue }),
  { minLength: 1, maxLength: MAX_CHANGES },
);

const listMembers = (value: unknown): [string, unknown][] =>
  typeof value === 'object' && value !== null ? Object.entries(value) : [];

const countMembers = (value: unknown): number =>
  listMembers(value).reduce((sum, [, member]) => sum + 1 + countMembers(member), 0);

/** Writes a record as JSON text, with some of its members changed. */
const changeRecord = (record: object, changes: Change[]): string => {
  const count = countMembers(record);
  const byPlace = new Map(changes.map((change) => [change.place % count, change]));
  let place = -1;

  const write = (value: unknown): string => {
    if (typeof value !== 'object' || value === null) return JSON.stringify(value);
    const isList = Array.isArray(value);
    const members = listMembers(value).flatMap(([name, member]) => {
      place += 1;
      const change = byPlace.get(place);
      const prefix = isList ? '' : `${JSON.stringify(name)}:`;
      const [own, changed] = [prefix + write(member), prefix + (change?.value ?? '')];
      if (!change) return [own];
      return { replace: [changed], omit: [], double: [own, changed] }[change.way];
    });
    return isList ? `[${members.join(',')}]` : `{${members.join(',')}}`;
  };
  return write(record);
};

export default changeRecord;
