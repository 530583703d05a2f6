import type { TextPlace } from './batchRecord.js';

/** A record's most bytes in the store are 262,144. */
const MOST_RECORD_BYTES = 250_000;

/** Where one record of a text stands. */
export interface RecordPlace {
  topic: string;
  offset: number;
  bytes: number;
}

export const keyOf = ({ topic, offset }: Pick<RecordPlace, 'topic' | 'offset'>): string =>
  `${topic}/${offset}`;

/** A text as records that are appended together. */
export const piecesOf = (text: string): Buffer[] => {
  const whole = Buffer.from(text);
  const count = Math.max(1, Math.ceil(whole.length / MOST_RECORD_BYTES));
  return Array.from({ length: count }, (_, index) =>
    whole.subarray(index * MOST_RECORD_BYTES, (index + 1) * MOST_RECORD_BYTES),
  );
};

/** The records of a text, as `piecesOf` cut it; none where there is no text. */
export const recordsOf = (place: TextPlace | null): RecordPlace[] =>
  Array.from({ length: place?.count ?? 0 }, (_, index) => ({
    topic: place?.topic ?? '',
    offset: (place?.offset ?? 0) + index,
    bytes: Math.min(MOST_RECORD_BYTES, (place?.bytes ?? 0) - index * MOST_RECORD_BYTES),
  }));
