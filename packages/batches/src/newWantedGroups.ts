import type { BatchState } from './newBatchState.js';

interface GroupCounts {
  /** Number of results that the counts are based on. */
  results: number;
  isEnough: boolean;
  /** Groups with an item that was abandoned, which can't be complete any more. */
  broken: Set<string>;
}

/**
 * Tells which groups their trainer still waits for: none once as many as it wants are complete, and
 * never one that can't be complete any more. A trainer that names no number wants all.
 */
const newWantedGroups = () => {
  const countsByBatch = new WeakMap<BatchState, GroupCounts>();

  const count = ({ batch, items, results }: BatchState): GroupCounts => {
    const open = new Map<string, number>();
    items.forEach(({ group }) => open.set(group, (open.get(group) ?? 0) + 1));
    const broken = new Set<string>();
    results.forEach(({ item, state }) => {
      const group = items.get(item)?.group ?? '';
      open.set(group, (open.get(group) ?? 0) - 1);
      if (state === 'abandoned') broken.add(group);
    });
    const complete = [...open].filter(([group, rest]) => rest === 0 && !broken.has(group));
    const isEnough = batch.wantedGroups > 0 && complete.length >= batch.wantedGroups;
    return { results: results.length, isEnough, broken };
  };

  return (state: BatchState, group: string): boolean => {
    const known = countsByBatch.get(state);
    const counts = known?.results === state.results.length ? known : count(state);
    countsByBatch.set(state, counts);
    return !counts.isEnough && !counts.broken.has(group);
  };
};

export default newWantedGroups;
