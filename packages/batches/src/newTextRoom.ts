import type { MemoryBudget } from '@cyclamengate/common/newMemoryBudget';
import type { ItemTask } from './newTaskList.js';
import { countTextBytes, heldTextBytes } from './progress.js';

/** What a text of some thousand tokens takes. */
const INITIAL_TEXT_BYTES = 32_768;
const MIN_TEXT_BYTES = 4_096;
/** Part of the limit that a text is expected to take at most; an event that never ends takes all. */
const MAX_TEXT_PART = 0.25;
/** Weight of the newest text in what the next ones are expected to take. */
const SIZE_WEIGHT = 0.2;

/** Room for the text of one run of an item. */
export interface RunRoom {
  /** Called with the size of each part of the text; @returns whether this host can hold it. */
  hold: (bytes: number) => boolean;
  /** Gives back what the text did not need. */
  end: (isWhole: boolean) => void;
}

type RunTask = Pick<ItemTask, 'progress' | 'textLease'>;

/**
 * Takes room for texts before they are generated, as much as texts took lately.
 *
 * Many long texts at once would exceed the memory of their host. One that has no room in the middle
 * is dropped and generated again, so that the others end; taken beforehand, that hardly happens.
 */
const newTextRoom = (memory: Pick<MemoryBudget, 'hasRoom' | 'limits'>) => {
  const maxExpectedBytes = memory.limits.texts * MAX_TEXT_PART;
  let expectedBytes = INITIAL_TEXT_BYTES;

  const expect = (bytes: number): void => {
    expectedBytes = Math.round(Math.min(maxExpectedBytes, Math.max(MIN_TEXT_BYTES, bytes)));
  };

  /** What has text already starts in any case: it ends, or makes room for the others. */
  const mayBegin = ({ progress }: Pick<ItemTask, 'progress'>): boolean =>
    progress.events.length > 0 || memory.hasRoom('texts', expectedBytes);

  return {
    mayBegin,
    /** @returns null if there is no room now for an item that has no text yet */
    begin: (task: RunTask): RunRoom | null => {
      if (!mayBegin(task)) return null;
      const { progress, textLease } = task;
      let used = countTextBytes(progress);
      const hasRoom = memory.hasRoom('texts', expectedBytes);
      const reserved = used + (hasRoom ? expectedBytes : 0);
      let held = textLease.resize(reserved) ? reserved : used;
      return {
        hold: (bytes) => {
          used += heldTextBytes(bytes, 0);
          if (used <= held) return true;
          if (!textLease.resize(used)) {
            expect(Math.max(expectedBytes, used));
            return false;
          }
          held = used;
          return true;
        },
        end: (isWhole) => {
          const size = countTextBytes(progress);
          textLease.resize(size);
          if (isWhole) expect(expectedBytes + SIZE_WEIGHT * (size - expectedBytes));
        },
      };
    },
  };
};

export type TextRoom = ReturnType<typeof newTextRoom>;

export default newTextRoom;
