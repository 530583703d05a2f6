import type Clock from '@cyclamengate/common/Clock';
import type { Part } from './batchRecord.js';
import { countCharacters } from './progress.js';
import type { Progress } from './progress.js';

/**
 * Batches end within 12 s of being accepted; a group that is carried over is sent again within a
 * step.
 */
export const PARTIAL_TEXT_RETENTION_MS = 30_000;
/** Texts are some 10 KB each; beyond this size the oldest are evicted and made again. */
const MAX_CHARACTERS = 8_000_000;
/** Texts and events may be empty. */
const MAX_TEXTS = 50_000;
const MAX_EVENTS = 2_000_000;
/** The only text that is known may be larger than all may be together, but not without end. */
const MAX_TEXT_CHARACTERS = 64_000_000;

/** Text of an item as written by its most recent writer. */
export interface PartialText {
  batch: string;
  writer: string;
  progress: Progress;
  isComplete: boolean;
  expiresAt: number;
  characters: number;
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
  let characters = 0;
  let events = 0;

  const remove = (item: string): void => {
    const text = texts.get(item);
    if (!text) return;
    characters -= text.characters;
    events -= text.progress.events.length;
    texts.delete(item);
  };

  const put = (item: string, text: PartialText): void => {
    characters += text.characters;
    events += text.progress.events.length;
    texts.set(item, text);
  };

  const isOver = (): boolean =>
    characters > MAX_CHARACTERS || events > MAX_EVENTS || texts.size > MAX_TEXTS;

  const evictOldest = (): void => {
    const [oldest] = texts.keys();
    if (oldest !== undefined) remove(oldest);
  };

  const isContinuation = (current: PartialText | undefined, { writer, from }: Part): boolean =>
    current?.writer === writer && current.progress.events.length === from;

  const evictExpired = (): void =>
    texts.forEach(({ expiresAt }, item) => {
      if (expiresAt < clock.now()) remove(item);
    });

  return {
    apply: (part: Part): void => {
      const { batch, item, writer, from, lastEventId, versions, isWhole } = part;
      const current = texts.get(item);
      if (from > 0 && !isContinuation(current, part)) return;
      const earlier = from > 0 ? (current?.progress.events ?? []) : [];
      const progress = { events: [...earlier, ...part.events], lastEventId, versions };
      const expiresAt = clock.now() + PARTIAL_TEXT_RETENTION_MS;
      const size = countCharacters(progress);
      remove(item);
      const isTooLarge = size > MAX_TEXT_CHARACTERS || progress.events.length > MAX_EVENTS;
      if (isTooLarge) return;
      put(item, {
        batch,
        writer,
        progress,
        isComplete: isWhole,
        expiresAt,
        characters: size,
      });
      while (isOver() && texts.size > 1) evictOldest();
    },
    evictExpired,
    get: (item: string): PartialText | undefined => texts.get(item),
    remove,
  };
};

export type PartialTexts = ReturnType<typeof newPartialTexts>;

export default newPartialTexts;
