import type Clock from './Clock.js';
import type { EventLog } from './newEventLog.js';
import type { Metrics } from './newMetrics.js';

/** What bytes are held for; part of the names of the metrics. */
export type MemoryUse = 'requests' | 'batches' | 'items' | 'peers' | 'results' | 'answers';

const USES: MemoryUse[] = ['requests', 'batches', 'items', 'peers', 'results', 'answers'];

/** Leases up to this size may use the whole budget, larger ones leave the reserve to them. */
const SMALL_LEASE_BYTES = 262_144;
/** Part of the budget that is kept for small leases. */
const RESERVED_PART = 0.125;
/** Large leases last about as long as it takes to receive and store a large body. */
const INITIAL_HOLD_MS = 1_000;
const MIN_RETRY_MS = 100;
const MAX_RETRY_MS = 5_000;
/** Weight of the newest large lease in the mean time that they last. */
const HOLD_TIME_WEIGHT = 0.25;
/** A collection pauses the process for some 10 ms, and has to be worth it. */
const MIN_RETURNED_BYTES = 16_000_000;

/** Bytes that are held for one piece of work. */
export interface MemoryLease {
  /** Changes the size; @returns false, without a change, if the budget has no room for it. */
  resize: (bytes: number) => boolean;
  /** Adds to the size; @returns as `resize` */
  grow: (bytes: number) => boolean;
  /** Gives the bytes back; does nothing when called again. */
  release: () => void;
}

/** Counts nothing, for processes without a memory budget. */
export const unlimitedLease: MemoryLease = {
  resize: () => true,
  grow: () => true,
  release: () => {},
};

export interface MemoryBudgetOptions {
  clock: Clock;
  log: EventLog;
  metrics: Metrics;
  /** Maximum number of bytes that are held at a time. */
  limitBytes: number;
  /** Returns the memory of released buffers to the system. */
  collect: () => void;
}

/**
 * Bounds the bytes that a process holds for bodies of any kind, all together.
 *
 * Each body within the operator's limit is harmless; several at once, or the copies of a large one,
 * exceed the memory of the process, which is then killed with all its other work. Whoever holds or
 * copies a body takes a lease first, and refuses the work at once if there is no room. Released
 * bytes are not lent again before their memory has been returned to the system.
 */
const newMemoryBudget = (options: MemoryBudgetOptions) => {
  const { clock, log, metrics, limitBytes, collect } = options;
  const heldByUse = new Map<MemoryUse, number>(USES.map((use) => [use, 0]));
  let held = 0;
  /** Released by large leases, and possibly not yet returned to the system. */
  let unreturned = 0;
  let holdMs = INITIAL_HOLD_MS;

  const add = (use: MemoryUse, bytes: number): void => {
    held += bytes;
    heldByUse.set(use, (heldByUse.get(use) ?? 0) + bytes);
  };

  const returnFreed = (): void => {
    const startedAt = clock.now();
    collect();
    const tookMs = Math.round(clock.now() - startedAt);
    log.info('memory.returned', { bytes: unreturned, held, tookMs });
    unreturned = 0;
  };

  const limitFor = (bytes: number): number =>
    bytes <= SMALL_LEASE_BYTES ? limitBytes : limitBytes * (1 - RESERVED_PART);

  const hasRoom = (bytes: number, more: number): boolean => {
    if (more <= 0) return true;
    if (held + more > limitFor(bytes)) return false;
    if (unreturned > 0 && held + unreturned + more > limitBytes) returnFreed();
    return true;
  };

  const refuse = (use: MemoryUse, bytes: number): void => {
    metrics.count(`memory_refused_${use}`);
    log.warn('memory.refused', { use, bytes, held, limitBytes });
  };

  const newLease = (use: MemoryUse, initialBytes: number): MemoryLease => {
    const startedAt = clock.now();
    let size = initialBytes;
    let isReleased = false;
    add(use, initialBytes);
    const resize = (bytes: number): boolean => {
      if (isReleased) return false;
      if (!hasRoom(bytes, bytes - size)) {
        refuse(use, bytes);
        return false;
      }
      if (bytes < size && size > SMALL_LEASE_BYTES) unreturned += size - bytes;
      add(use, bytes - size);
      size = bytes;
      return true;
    };
    return {
      resize,
      grow: (bytes) => resize(size + bytes),
      release: () => {
        if (isReleased) return;
        isReleased = true;
        add(use, -size);
        if (size <= SMALL_LEASE_BYTES) return;
        unreturned += size;
        holdMs += HOLD_TIME_WEIGHT * (clock.now() - startedAt - holdMs);
      },
    };
  };

  metrics.gauge('memory_limit_bytes', () => limitBytes);
  metrics.gauge('memory_held_bytes', () => held);
  metrics.gauge('memory_unreturned_bytes', () => unreturned);
  USES.forEach((use) => metrics.gauge(`memory_held_bytes_${use}`, () => heldByUse.get(use) ?? 0));

  return {
    limitBytes,
    /** @returns null if the budget has no room for the bytes now */
    reserve: (use: MemoryUse, bytes: number): MemoryLease | null => {
      if (hasRoom(bytes, bytes)) return newLease(use, bytes);
      refuse(use, bytes);
      return null;
    },
    /** Counts bytes that have to be held in any case; what is asked for next is refused instead. */
    hold: newLease,
    /** Counts buffers that were used and dropped under a lease that goes on. */
    noteFreed: (bytes: number): void => {
      unreturned += bytes;
      if (unreturned >= MIN_RETURNED_BYTES && held + unreturned > limitBytes) returnFreed();
    },
    /** After how many milliseconds what has no room now can be expected to have some. */
    retryAfterMs: (): number => Math.round(Math.min(MAX_RETRY_MS, Math.max(MIN_RETRY_MS, holdMs))),
    heldBytes: (): number => held,
  };
};

export type MemoryBudget = ReturnType<typeof newMemoryBudget>;

export default newMemoryBudget;
