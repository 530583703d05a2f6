import parseJson from '@cyclamengate/common/parseJson';
import type { JsonFault } from '@cyclamengate/common/parseJson';
import { z } from 'zod';

/** The store limits records to 262,144 bytes, which have to hold the frame of a piece as well. */
const MAX_PIECE_BYTES = 190_000;

/** Several times the largest head of a batch, whose ids may need escapes. */
const MAX_ASSEMBLED_BYTES = 33_554_432;
const MAX_PIECES = 1_024;
/** Records of which pieces were read; the writer of an older one has died before it wrote the rest. */
const MAX_INCOMPLETE = 64;
const MAX_ID_LENGTH = 256;

const pieceSchema = z.object({
  type: z.literal('piece'),
  id: z.string().max(MAX_ID_LENGTH),
  index: z
    .int()
    .min(0)
    .max(MAX_PIECES - 1),
  count: z.int().min(1).max(MAX_PIECES),
  /** Base64-encoded. */
  data: z.string(),
});

/** Encodes a record for the store: as one record, or as several that are appended together. */
export const encodeRecord = (record: { type: string }, id: string): Buffer[] => {
  const encoded = Buffer.from(JSON.stringify(record));
  if (encoded.length <= MAX_PIECE_BYTES) return [encoded];
  const pieceBytes = Math.floor((MAX_PIECE_BYTES * 3) / 4);
  const count = Math.ceil(encoded.length / pieceBytes);
  return Array.from({ length: count }, (_, index) => {
    const data = encoded.subarray(index * pieceBytes, (index + 1) * pieceBytes).toString('base64');
    return Buffer.from(JSON.stringify({ type: 'piece', id, index, count, data }));
  });
};

const isPiece = (raw: unknown): boolean => (raw as { type?: unknown } | null)?.type === 'piece';

/** Why pieces are dropped. */
export type PieceFault = 'out-of-order' | 'too-large' | 'never-complete' | JsonFault;

interface IncompleteRecord {
  pieces: Buffer[];
  bytes: number;
  count: number;
}

/**
 * Reassembles records that were split into pieces. The pieces of a record are in order, though
 * others may lie between them. What is held of incomplete records is bounded, one by one and together.
 * @param onDropped called for each record of which pieces are dropped
 */
export const newRecordAssembler = (onDropped: (reason: PieceFault) => void = () => {}) => {
  const incomplete = new Map<string, IncompleteRecord>();
  let heldBytes = 0;

  const remove = (id: string): void => {
    heldBytes -= incomplete.get(id)?.bytes ?? 0;
    incomplete.delete(id);
  };

  const drop = (id: string, reason: PieceFault): void => {
    remove(id);
    onDropped(reason);
  };

  const dropOldest = (): void => {
    while (incomplete.size > MAX_INCOMPLETE || heldBytes > MAX_ASSEMBLED_BYTES) {
      drop(incomplete.keys().next().value ?? '', 'never-complete');
    }
  };

  const parse = (pieces: Buffer[]): unknown => {
    const parsed = parseJson(Buffer.concat(pieces).toString());
    if (parsed.ok) return parsed.val;
    onDropped(parsed.val);
    return null;
  };

  const begin = (id: string, count: number): IncompleteRecord => {
    remove(id);
    const begun = { pieces: [], bytes: 0, count };
    incomplete.set(id, begun);
    return begun;
  };

  return (raw: unknown): unknown => {
    // Most records are not pieces, and a schema that rejects them builds a list of problems each
    // time.
    if (!isPiece(raw)) return raw;
    const checked = pieceSchema.safeParse(raw);
    if (!checked.success) return raw;
    const { id, index, count, data } = checked.data;
    const record = index === 0 ? begin(id, count) : incomplete.get(id);
    // The first pieces were deleted before this host could read them.
    if (!record) return null;
    if (index !== record.pieces.length || count !== record.count) {
      drop(id, 'out-of-order');
      return null;
    }
    const piece = Buffer.from(data, 'base64');
    record.pieces.push(piece);
    record.bytes += piece.length;
    heldBytes += piece.length;
    if (record.bytes > MAX_ASSEMBLED_BYTES) {
      drop(id, 'too-large');
      return null;
    }
    if (index < count - 1) {
      dropOldest();
      return null;
    }
    remove(id);
    return parse(record.pieces);
  };
};
