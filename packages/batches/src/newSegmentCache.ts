import type { MemoryBudget, MemoryLease } from '@cyclamengate/common/newMemoryBudget';
import type { ItemRequest } from './batchRecord.js';

/** Part of the memory budget that read segments may take. */
const CACHED_PART = 0.15;

interface CachedSegment {
  items: Map<string, ItemRequest>;
  lease: MemoryLease;
  bytes: number;
}

/** Keeps the segments that this host has read last, up to a part of the memory budget. */
const newSegmentCache = (memory: MemoryBudget) => {
  const maxBytes = memory.limits.bodies * CACHED_PART;
  const segments = new Map<string, CachedSegment>();
  let bytes = 0;

  const remove = (key: string): void => {
    const found = segments.get(key);
    if (!found) return;
    segments.delete(key);
    bytes -= found.bytes;
    found.lease.release();
  };

  return {
    maxBytes,
    get: (key: string): Map<string, ItemRequest> | undefined => {
      const found = segments.get(key);
      if (!found) return undefined;
      // The least recently used one comes first.
      segments.delete(key);
      segments.set(key, found);
      return found.items;
    },
    has: (key: string): boolean => segments.has(key),
    /** @param lease of the segment's bytes, which is released with the segment */
    put: (key: string, segment: CachedSegment): void => {
      remove(key);
      segments.set(key, segment);
      bytes += segment.bytes;
      while (bytes > maxBytes) remove(segments.keys().next().value ?? '');
    },
    remove,
  };
};

export type SegmentCache = ReturnType<typeof newSegmentCache>;

export default newSegmentCache;
