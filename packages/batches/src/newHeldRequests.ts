import type { MemoryBudget, MemoryLease } from '@cyclamengate/common/newMemoryBudget';
import type { Item } from './batchRecord.js';

/** The fields of an item take about this much beside its bodies. */
const FIELD_BYTES = 1_024;

const estimateBytes = (items: Item[]): number =>
  items.reduce(
    (sum, { body, scoring }) => sum + FIELD_BYTES + body.length + (scoring?.body.length ?? 0),
    0,
  );

/** Counts the requests of batches that this host was handed and holds until their end. */
const newHeldRequests = (memory: MemoryBudget) => {
  const leases = new Map<string, MemoryLease>();
  return {
    /** @returns false if the memory budget has no room for the requests */
    hold: (batch: string, items: Item[]): boolean => {
      if (leases.has(batch)) return true;
      const lease = memory.reserve('batches', estimateBytes(items));
      if (lease) leases.set(batch, lease);
      return lease !== null;
    },
    drop: (batch: string): void => {
      leases.get(batch)?.release();
      leases.delete(batch);
    },
  };
};

export default newHeldRequests;
