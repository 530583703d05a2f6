import type Clock from '@cyclamengate/common/Clock';
import type { Part } from './batchRecord.js';
import type { Progress } from './progress.js';

/**
 * Batches end within 12 s of being accepted; a group that is carried over is sent again within a
 * step.
 */
export const PARTIAL_TEXT_RETENTION_MS = 30_000;

/** Text of an item as written by its most recent writer. */
export interface PartialText {
  batch: string;
  writer: string;
  progress: Progress;
  isComplete: boolean;
  expiresAt: number;
}

/**
 * Assembles partial texts from the parts that hosts have written.
 *
 * A host that was considered dead may still write while another host resumes its items. Parts of
 * two incarnations would join to a text that no engine generated, so a part continues only the
 * parts of its own writer.
 */
const newPartialTexts = (clock: Clock) => {
  const texts = new Map<string, PartialText>();

  const isContinuation = (current: PartialText | undefined, { writer, from }: Part): boolean =>
    current?.writer === writer && current.progress.events.length === from;

  const evictExpired = (): void =>
    texts.forEach(({ expiresAt }, item) => {
      if (expiresAt < clock.now()) texts.delete(item);
    });

  return {
    apply: (part: Part): void => {
      const { batch, item, writer, from, events, lastEventId, versions, isWhole } = part;
      const current = texts.get(item);
      if (from > 0 && !isContinuation(current, part)) return;
      const earlier = from > 0 ? (current?.progress.events ?? []) : [];
      const progress = { events: [...earlier, ...events], lastEventId, versions };
      const expiresAt = clock.now() + PARTIAL_TEXT_RETENTION_MS;
      texts.set(item, { batch, writer, progress, isComplete: isWhole, expiresAt });
    },
    evictExpired,
    get: (item: string): PartialText | undefined => texts.get(item),
    remove: (item: string): void => {
      texts.delete(item);
    },
  };
};

export type PartialTexts = ReturnType<typeof newPartialTexts>;

export default newPartialTexts;
