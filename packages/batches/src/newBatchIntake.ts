import groupBy from '@cyclamengate/common/groupBy';
import type { ItemFields, ItemHead, ItemRequest, TextPlace, TextRun } from './batchRecord.js';
import newSegmentBuilder from './newSegmentBuilder.js';
import type { BodyKind } from './newSegmentBuilder.js';
import newSegmentWriter from './newSegmentWriter.js';
import { parseSegment } from './requestSegment.js';

/** Requests up to this size are held as a whole, so that other hosts can be handed them. */
export const MAX_HELD_BYTES = 1_000_000;

export interface BatchIntakeOptions {
  writePart: (part: number, bytes: Buffer) => Promise<TextRun | null>;
}

/** The requests of a batch that has arrived as a whole. */
export type BatchRequests =
  | { type: 'held'; items: ItemRequest[] }
  /** Too large to be held: the store has them, and nobody knows of them yet. */
  | { type: 'stored'; heads: ItemHead[]; segments: TextPlace[] }
  /** Too large to be held, and the store did not take them all. */
  | { type: 'not-stored' };

/**
 * Takes in the requests of a batch: holds them if they are few, otherwise writes them to the store
 * as they arrive.
 */
const newBatchIntake = ({ writePart }: BatchIntakeOptions) => {
  const writer = newSegmentWriter({ writePart });
  let held: { segment: number; part: Buffer }[] | null = [];
  let heldBytes = 0;
  const builder = newSegmentBuilder({
    onPart: (segment, part) => {
      held?.push({ segment, part });
      heldBytes += part.length;
      if (!held) writer.add(segment, part);
      else if (heldBytes > MAX_HELD_BYTES) {
        held.forEach((each) => writer.add(each.segment, each.part));
        held = null;
      }
    },
  });

  /** Parts of one segment are consecutive. */
  const readHeld = (parts: { segment: number; part: Buffer }[]): ItemRequest[] =>
    [...groupBy(parts, ({ segment }) => segment).values()].flatMap(
      (list) => parseSegment(Buffer.concat(list.map(({ part }) => part))) ?? [],
    );

  return {
    addBody: (kind: BodyKind, bytes: Buffer): void => builder.addBody(kind, bytes),
    addItem: (fields: ItemFields): void => builder.addItem(fields),
    /** Resolves once more may be added without holding more than a few parts. */
    ready: writer.ready,
    /** Whether the store has refused a part, so that the batch can't be accepted. */
    hasFailed: writer.hasFailed,
    end: async (): Promise<BatchRequests> => {
      const heads = builder.end();
      if (held) return { type: 'held', items: readHeld(held) };
      const segments = await writer.end();
      return segments ? { type: 'stored', heads, segments } : { type: 'not-stored' };
    },
  };
};

export type BatchIntake = ReturnType<typeof newBatchIntake>;

export default newBatchIntake;
