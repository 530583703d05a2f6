import type { Candidate } from '@cyclamengate/engines/chooseUpstream';
import { getLoadedVersion } from '@cyclamengate/engines/upstreamEntry';
import type { RepeatCounter } from './newRepeatCounter.js';
import type { ItemTask } from './newTaskList.js';
import { newProgress } from './progress.js';

/** Discards an item's text, which is generated again from its beginning. */
export const discardText = (
  task: ItemTask,
  repeats: Pick<RepeatCounter, 'countDiscarded'>,
): void => {
  repeats.countDiscarded(task.progress.events.length);
  task.progress = newProgress();
  task.textLease.resize(0);
  task.savedEvents = 0;
  task.isCompletionSaved = false;
};

/**
 * Whether a text that only one version may continue can't be continued any more: no engine has that
 * version, and engines load newer ones only.
 * @param newestVersion of the model that its trainer has named
 */
export const isVersionGone = (
  { state, progress }: Pick<ItemTask, 'state' | 'progress'>,
  candidates: Candidate[],
  newestVersion: number,
): boolean => {
  const { model } = state.batch;
  const [version] = progress.versions;
  if (model === null || version === undefined || candidates.length === 0) return false;
  return (
    version < newestVersion &&
    candidates.every(({ entry }) => getLoadedVersion(entry, model) !== version)
  );
};
