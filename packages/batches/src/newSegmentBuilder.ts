import { createHash } from 'node:crypto';
import type { Hash } from 'node:crypto';
import type { ItemFields, ItemHead, ItemRequest } from './batchRecord.js';
import { computeItemDigest } from './newBatchHead.js';
import { formatIndex } from './requestSegment.js';
import type { BodyRange, SegmentEntry } from './requestSegment.js';
import { MAX_APPEND_TEXT_BYTES } from './textRecords.js';

/** A segment ends with the item that reaches this size; it is read as a whole. */
const SEGMENT_BYTES = 500_000;

/** Which of an item's bodies. */
export type BodyKind = 'item' | 'scoring';

const NO_BODY: BodyRange = { start: 0, bytes: 0 };

export interface SegmentBuilderOptions {
  /** Called with parts of a segment, in order; each fits into one append. */
  onPart: (segment: number, part: Buffer) => void;
}

/**
 * Arranges the requests of a batch in segments as they arrive.
 *
 * A host that runs some items of a large batch reads their segments, not the whole batch. A body is
 * passed on in parts before its item is complete, so that a large one is never held as a whole.
 */
const newSegmentBuilder = ({ onPart }: SegmentBuilderOptions) => {
  const heads: ItemHead[] = [];
  let segment = 0;
  /** Bytes of this segment that were not passed on yet. */
  let parts: Buffer[] = [];
  let partBytes = 0;
  /** All bytes of this segment so far. */
  let dataBytes = 0;
  let fieldBytes = 0;
  let entries: SegmentEntry[] = [];
  let ranges = new Map<BodyKind, BodyRange>();
  let bodyHash: Hash = createHash('sha256');

  const flush = (bytes: number): void => {
    const joined = Buffer.concat(parts);
    const rest = joined.subarray(bytes);
    parts = rest.length > 0 ? [Buffer.from(rest)] : [];
    partBytes = rest.length;
    onPart(segment, joined.subarray(0, bytes));
  };

  const append = (bytes: Buffer): void => {
    parts.push(bytes);
    partBytes += bytes.length;
    dataBytes += bytes.length;
    while (partBytes >= MAX_APPEND_TEXT_BYTES) flush(MAX_APPEND_TEXT_BYTES);
  };

  const endSegment = (): void => {
    append(formatIndex(entries));
    if (partBytes > 0) flush(partBytes);
    segment += 1;
    entries = [];
    dataBytes = 0;
    fieldBytes = 0;
  };

  const addBody = (kind: BodyKind, bytes: Buffer): void => {
    const range = ranges.get(kind) ?? { start: dataBytes, bytes: 0 };
    ranges.set(kind, { ...range, bytes: range.bytes + bytes.length });
    if (kind === 'item') bodyHash.update(bytes);
    append(bytes);
  };

  const addItem = (fields: ItemFields): void => {
    const { id, group, expectedTokens } = fields;
    const digest = computeItemDigest(fields, bodyHash.digest('hex'));
    heads.push({ id, group, expectedTokens, digest, segment });
    entries.push({
      ...fields,
      body: ranges.get('item') ?? NO_BODY,
      scoringBody: ranges.get('scoring') ?? NO_BODY,
    });
    ranges = new Map();
    bodyHash = createHash('sha256');
    fieldBytes += JSON.stringify(fields).length;
    if (dataBytes + fieldBytes >= SEGMENT_BYTES) endSegment();
  };

  return {
    addBody,
    /** Ends the item whose bodies were added. */
    addItem,
    /** Adds an item as a whole. */
    addRequest: ({ body, scoring, ...fields }: ItemRequest): void => {
      addBody('item', body);
      if (scoring) addBody('scoring', scoring.body);
      addItem({
        ...fields,
        scoring: scoring && { id: scoring.id, hostName: scoring.hostName, path: scoring.path },
      });
    },
    /** Ends the last segment; @returns the metadata of all items */
    end: (): ItemHead[] => {
      if (entries.length > 0) endSegment();
      return heads;
    },
  };
};

export type SegmentBuilder = ReturnType<typeof newSegmentBuilder>;

export default newSegmentBuilder;
