import type Clock from '@cyclamengate/common/Clock';
import type { Part } from './batchRecord.js';
import type { Progress } from './progress.js';

/** Batches are over 12 s after they were accepted; a carried-over group comes again within a step. */
export const PART_LIFE_MS = 30_000;

/** Text of an item as its newest writer left it. */
export interface PartText {
  batch: string;
  writer: string;
  progress: Progress;
  isWhole: boolean;
  deadline: number;
}

/**
 * Texts that are under way, put together from the pieces that their hosts wrote.
 *
 * A host that was thought dead can still write while another goes on with its items. Pieces of two
 * runs joined would be a text that no engine made: so a piece continues only its own writer's.
 */
const newPartTexts = (clock: Clock) => {
  const texts = new Map<string, PartText>();

  const isContinued = (known: PartText | undefined, { writer, from }: Part): boolean =>
    known?.writer === writer && known.progress.events.length === from;

  const forgetOld = (): void =>
    texts.forEach(({ deadline }, item) => {
      if (deadline < clock.now()) texts.delete(item);
    });

  return {
    apply: (part: Part): void => {
      const { batch, item, writer, from, events, lastEventId, versions, isWhole } = part;
      const known = texts.get(item);
      if (from > 0 && !isContinued(known, part)) return;
      const earlier = from > 0 ? (known?.progress.events ?? []) : [];
      const progress = { events: [...earlier, ...events], lastEventId, versions };
      const deadline = clock.now() + PART_LIFE_MS;
      texts.set(item, { batch, writer, progress, isWhole, deadline });
    },
    forgetOld,
    get: (item: string): PartText | undefined => texts.get(item),
    forget: (item: string): void => {
      texts.delete(item);
    },
  };
};

export type PartTexts = ReturnType<typeof newPartTexts>;

export default newPartTexts;
