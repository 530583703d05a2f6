import type { ItemHead, ItemResult, Verdict } from './batchRecord.js';

/** An item that was refused or failed so often, in one batch after the other, reaches no engine again. */
const MAX_VERDICTS = 3;

interface ItemVerdicts {
  digest: string;
  counts: Record<Verdict, number>;
  /** The batch of the newest one. */
  batch: string;
}

/**
 * Counts how often items were abandoned for what the engines answered. A group that is not complete comes
 * again under the same ids, and an item that no engine can do would be run in each of its batches.
 */
const newVerdicts = () => {
  const verdicts = new Map<string, ItemVerdicts>();

  return {
    add: ({ id, digest }: ItemHead, { batch, verdict }: ItemResult): void => {
      if (verdict === undefined) return;
      const known = verdicts.get(id);
      const counts = known?.digest === digest ? known.counts : { impossible: 0, failed: 0 };
      verdicts.set(id, { digest, batch, counts: { ...counts, [verdict]: counts[verdict] + 1 } });
    },
    /** Forgets an item once the batch of its newest verdict is forgotten. */
    forget: (id: string, batch: string): void => {
      if (verdicts.get(id)?.batch === batch) verdicts.delete(id);
    },
    isHopeless: ({ id, digest }: Pick<ItemHead, 'id' | 'digest'>): boolean => {
      const known = verdicts.get(id);
      if (known?.digest !== digest) return false;
      return Object.values(known.counts).some((count) => count >= MAX_VERDICTS);
    },
  };
};

export default newVerdicts;
