import type { TextPlace, TextRun } from './batchRecord.js';
import { MAX_RECORD_BYTES, MAX_RECORDS_PER_APPEND } from './storeLimits.js';

/** Bytes of a text that one append holds at most. */
export const MAX_APPEND_TEXT_BYTES = MAX_RECORD_BYTES * MAX_RECORDS_PER_APPEND;

/** Location of one record of a text. */
export interface RecordPlace {
  topic: string;
  offset: number;
  bytes: number;
}

export const recordKey = ({ topic, offset }: Pick<RecordPlace, 'topic' | 'offset'>): string =>
  `${topic}/${offset}`;

const splitBytes = (bytes: Buffer, partBytes: number): Buffer[] =>
  Array.from({ length: Math.max(1, Math.ceil(bytes.length / partBytes)) }, (_, index) =>
    bytes.subarray(index * partBytes, (index + 1) * partBytes),
  );

/** Splits bytes into parts of which each fits into one append. */
export const splitIntoAppends = (bytes: Buffer): Buffer[] =>
  splitBytes(bytes, MAX_APPEND_TEXT_BYTES);

/** Splits bytes into the records of one append. */
export const splitIntoRecords = (bytes: Buffer): Buffer[] => splitBytes(bytes, MAX_RECORD_BYTES);

/** The runs of a text, in order. */
export const runsOf = (place: TextPlace | null): TextRun[] => {
  if (place === null) return [];
  const { rest = [], ...first } = place;
  return [first, ...rest];
};

/** Joins the runs of a text into its location. */
export const joinRuns = ([first, ...rest]: [TextRun, ...TextRun[]]): TextPlace =>
  rest.length === 0 ? first : { ...first, rest };

/** Size of a stored text. */
export const textBytes = (place: TextPlace | null): number =>
  runsOf(place).reduce((sum, { bytes }) => sum + bytes, 0);

/** Locations of the records of a text, as split by `splitIntoRecords`; none if there is no text. */
export const recordPlaces = (place: TextPlace | null): RecordPlace[] =>
  runsOf(place).flatMap(({ topic, offset, count, bytes }) =>
    Array.from({ length: count }, (_, index) => ({
      topic,
      offset: offset + index,
      bytes: Math.min(MAX_RECORD_BYTES, bytes - index * MAX_RECORD_BYTES),
    })),
  );
