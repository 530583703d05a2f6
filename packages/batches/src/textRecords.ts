import type { TextPlace } from './batchRecord.js';

/** The store limits records to 262,144 bytes. */
const MAX_RECORD_BYTES = 250_000;

/** Location of one record of a text. */
export interface RecordPlace {
  topic: string;
  offset: number;
  bytes: number;
}

export const recordKey = ({ topic, offset }: Pick<RecordPlace, 'topic' | 'offset'>): string =>
  `${topic}/${offset}`;

/** Splits a text into records that are appended together. */
export const splitText = (text: string): Buffer[] => {
  const encoded = Buffer.from(text);
  const count = Math.max(1, Math.ceil(encoded.length / MAX_RECORD_BYTES));
  return Array.from({ length: count }, (_, index) =>
    encoded.subarray(index * MAX_RECORD_BYTES, (index + 1) * MAX_RECORD_BYTES),
  );
};

/** Locations of the records of a text, as split by `splitText`; none if there is no text. */
export const recordPlaces = (place: TextPlace | null): RecordPlace[] =>
  Array.from({ length: place?.count ?? 0 }, (_, index) => ({
    topic: place?.topic ?? '',
    offset: (place?.offset ?? 0) + index,
    bytes: Math.min(MAX_RECORD_BYTES, (place?.bytes ?? 0) - index * MAX_RECORD_BYTES),
  }));
