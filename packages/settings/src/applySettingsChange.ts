import { formatProblems, restore } from '@cyclamengate/common/restore';
import { ACCEPTED, rejected } from './decision.js';
import type { Decision } from './decision.js';
import findConflicts from './findConflicts.js';
import isWithinPath from './isWithinPath.js';
import type { SettingsChange } from './settingsChange.js';
import { NO_REVISION } from './settingsTree.js';
import type { SettingsTree } from './settingsTree.js';
import { subtreeSettingsSchema } from './subtreeSettings.js';
import type { SubtreeSettings } from './subtreeSettings.js';

/** Whether an operator may change the subtree at a path. */
export const isAllowed = (tree: SettingsTree, operator: string, path: string): boolean =>
  Object.values(tree).some(({ subtree }) =>
    subtree?.operators.some(
      ({ id, paths }) => id === operator && paths.some((granted) => isWithinPath(path, granted)),
    ),
  );

const findRefusal = (tree: SettingsTree, change: SettingsChange): string | null => {
  const isFirstChange = Object.keys(tree).length === 0;
  const forbidden = change.subtrees.find(
    ({ path }) => !isFirstChange && !isAllowed(tree, change.operator, path),
  );
  if (forbidden) return `operator ${change.operator} has no right to change ${forbidden.path}`;
  const stale = change.subtrees.find(
    ({ path, basedOn }) => (tree[path]?.revision ?? NO_REVISION) !== basedOn,
  );
  if (!stale) return null;
  const currentRevision = tree[stale.path]?.revision ?? NO_REVISION;
  return `${stale.path} was changed by someone else: based on revision ${stale.basedOn}, now ${currentRevision}`;
};

const restoreSubtrees = (
  change: SettingsChange,
): { problems: string[]; subtrees: Map<string, SubtreeSettings | null> } => {
  const problems: string[] = [];
  const subtrees = new Map<string, SubtreeSettings | null>();
  change.subtrees.forEach(({ path, subtree }) => {
    if (subtree === null) {
      subtrees.set(path, null);
      return;
    }
    const restored = restore(subtreeSettingsSchema, subtree);
    if (restored.ok) subtrees.set(path, restored.val);
    else problems.push(`${path}: ${formatProblems(restored.val)}`);
  });
  return { problems, subtrees };
};

const mergeSubtrees = (
  tree: SettingsTree,
  changed: ReadonlyMap<string, SubtreeSettings | null>,
): Map<string, SubtreeSettings> => {
  const merged = new Map<string, SubtreeSettings>();
  Object.entries(tree).forEach(([path, { subtree }]) => {
    if (subtree && !changed.has(path)) merged.set(path, subtree);
  });
  changed.forEach((subtree, path) => {
    if (subtree) merged.set(path, subtree);
  });
  return merged;
};

/**
 * Applies a published change to the tree atomically.
 *
 * Two operators may change the same subtree concurrently. Each change names the revision it is
 * based on, and the log's order decides: every reader accepts the first change and rejects the
 * second as stale. So no change is overwritten silently and no host reverts to older settings.
 */
const applySettingsChange = (
  tree: SettingsTree,
  offset: number,
  change: SettingsChange,
): Decision => {
  const refusal = findRefusal(tree, change);
  if (refusal) return rejected(refusal);
  const { problems, subtrees } = restoreSubtrees(change);
  if (problems.length > 0) return rejected(problems.join('\n'));
  const conflicts = findConflicts(mergeSubtrees(tree, subtrees));
  if (conflicts.length > 0) return rejected(conflicts.join('\n'));
  subtrees.forEach((subtree, path) => {
    tree[path] = { revision: offset, subtree };
  });
  return ACCEPTED;
};

export default applySettingsChange;
