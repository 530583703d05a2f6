import parseJson from '@cyclamengate/common/parseJson';
import { restore } from '@cyclamengate/common/restore';
import { z } from 'zod';
import { MAX_ITEMS, itemFieldsSchema } from './batchRecord.js';
import type { Item, ItemRequest } from './batchRecord.js';

/** Bytes at the end of a segment that hold the length of its index. */
const LENGTH_BYTES = 4;

/** Where a body stands within a segment. */
const rangeSchema = z.object({ start: z.int().min(0), bytes: z.int().min(0) });

export type BodyRange = z.infer<typeof rangeSchema>;

const entrySchema = itemFieldsSchema.extend({ body: rangeSchema, scoringBody: rangeSchema });

/** An item of a segment: its fields, and where its bodies stand. */
export type SegmentEntry = z.infer<typeof entrySchema>;

const indexSchema = z.array(entrySchema).max(MAX_ITEMS);

/** Formats the end of a segment, which tells what its bytes are. */
export const formatIndex = (entries: SegmentEntry[]): Buffer => {
  const index = Buffer.from(JSON.stringify(entries));
  const length = Buffer.alloc(LENGTH_BYTES);
  length.writeUInt32BE(index.length);
  return Buffer.concat([index, length]);
};

const restoreItem = (
  segment: Buffer,
  { body, scoringBody, scoring, ...fields }: SegmentEntry,
): ItemRequest => {
  const slice = ({ start, bytes }: BodyRange): Buffer => segment.subarray(start, start + bytes);
  return {
    ...fields,
    body: slice(body),
    scoring: scoring && { ...scoring, body: slice(scoringBody) },
  };
};

/** Parses a segment; the bodies are parts of it. Null if it is not one. */
export const parseSegment = (segment: Buffer): ItemRequest[] | null => {
  if (segment.length < LENGTH_BYTES) return null;
  const indexEnd = segment.length - LENGTH_BYTES;
  const indexStart = indexEnd - segment.readUInt32BE(indexEnd);
  if (indexStart < 0) return null;
  const raw = parseJson(segment.subarray(indexStart, indexEnd).toString());
  if (!raw.ok) return null;
  const restored = restore(indexSchema, raw.val);
  if (!restored.ok) return null;
  const isWithin = ({ start, bytes }: BodyRange): boolean => start + bytes <= indexStart;
  const isWhole = restored.val.every(
    ({ body, scoringBody }) => isWithin(body) && isWithin(scoringBody),
  );
  return isWhole ? restored.val.map((entry) => restoreItem(segment, entry)) : null;
};

/** The request of an item that is held as it was handed from host to host. */
export const toItemRequest = ({ body, scoring, ...fields }: Item): ItemRequest => ({
  ...fields,
  body: Buffer.from(body, 'base64'),
  scoring: scoring && { ...scoring, body: Buffer.from(scoring.body, 'base64') },
});

/** An item as it is handed from host to host. */
export const toItem = ({ body, scoring, ...fields }: ItemRequest): Item => ({
  ...fields,
  body: body.toString('base64'),
  scoring: scoring && { ...scoring, body: scoring.body.toString('base64') },
});

/** Bytes of the bodies of a request. */
export const bodyBytes = ({ body, scoring }: ItemRequest): number =>
  body.length + (scoring?.body.length ?? 0);
