import { z } from 'zod';

/** The store limits records to 262,144 bytes, which have to hold the frame of a piece as well. */
const MAX_PIECE_BYTES = 190_000;

const pieceSchema = z.object({
  type: z.literal('piece'),
  id: z.string(),
  index: z.int(),
  count: z.int(),
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

/** Records of which pieces were read; the writer of an older one has died before it wrote the rest. */
const MAX_INCOMPLETE = 64;

/**
 * Reassembles records that were split into pieces. The pieces of a record are in order, though
 * others may lie between them.
 */
export const newRecordAssembler = () => {
  const incomplete = new Map<string, Buffer[]>();

  const evictOldest = (): void => {
    const [oldest] = incomplete.keys();
    if (oldest !== undefined && incomplete.size > MAX_INCOMPLETE) incomplete.delete(oldest);
  };

  return (raw: unknown): unknown => {
    // Most records are not pieces, and a schema that rejects them builds a list of problems each
    // time.
    if (!isPiece(raw)) return raw;
    const piece = pieceSchema.safeParse(raw);
    if (!piece.success) return raw;
    const { id, index, count, data } = piece.data;
    const pieces = index === 0 ? [] : (incomplete.get(id) ?? []);
    pieces.push(Buffer.from(data, 'base64'));
    incomplete.set(id, pieces);
    evictOldest();
    if (pieces.length < count || index < count - 1) return null;
    incomplete.delete(id);
    try {
      return JSON.parse(Buffer.concat(pieces).toString()) as unknown;
    } catch {
      // The first pieces were read before the log was trimmed, so the record is incomplete for
      // good.
      return null;
    }
  };
};
