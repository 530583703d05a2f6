import type Clock from './Clock.js';
import type { EventLog } from './newEventLog.js';
import type { Metrics } from './newMetrics.js';

/** What bytes are held for; part of the names of the metrics. */
export type MemoryUse =
  'requests' | 'batches' | 'items' | 'peers' | 'results' | 'answers' | 'metadata' | 'texts';

/**
 * The limits that uses share: bodies; what a host knows of all batches; texts of items that it runs.
 * Each has one of its own, or what is held for minutes would leave no room for the work itself.
 */
export type MemoryPool = 'bodies' | 'metadata' | 'texts';

/** Maximum number of bytes that are held at a time, by pool. */
export type MemoryLimits = Record<MemoryPool, number>;

const POOL_OF: Record<MemoryUse, MemoryPool> = {
  requests: 'bodies',
  batches: 'bodies',
  items: 'bodies',
  peers: 'bodies',
  results: 'bodies',
  answers: 'bodies',
  metadata: 'metadata',
  texts: 'texts',
};

const USES = Object.keys(POOL_OF) as MemoryUse[];
const POOLS: MemoryPool[] = ['bodies', 'metadata', 'texts'];

/** Leases up to this size may use a whole pool, larger ones leave the reserve to them. */
const SMALL_LEASE_BYTES = 262_144;
/** Part of a pool that is kept for small leases. */
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
  /** Adds what has to be held in any case. */
  add: (bytes: number) => void;
  /** Gives the bytes back; does nothing when called again. */
  release: () => void;
}

/** Counts nothing, for processes without a memory budget. */
export const unlimitedLease: MemoryLease = {
  resize: () => true,
  grow: () => true,
  add: () => {},
  release: () => {},
};

/** As `unlimitedLease`. */
export const unlimitedMemory = {
  hasRoom: (): boolean => true,
  hold: (): MemoryLease => unlimitedLease,
};

export interface MemoryBudgetOptions {
  clock: Clock;
  log: EventLog;
  metrics: Metrics;
  limits: MemoryLimits;
  /** Returns the memory of released buffers to the system. */
  collect: () => void;
}

/**
 * Bounds the bytes that a process holds for bodies, texts and metadata of any kind, all together.
 *
 * Each body within the operator's limit is harmless; several at once, or the copies of a large one,
 * exceed the memory of the process, which is then killed with all its other work. Whoever holds or
 * copies a body takes a lease first, and refuses the work at once if there is no room. Released
 * bytes of bodies are not lent again before their memory has been returned to the system.
 */
const newMemoryBudget = (options: MemoryBudgetOptions) => {
  const { clock, log, metrics, limits, collect } = options;
  const heldByUse = new Map<MemoryUse, number>(USES.map((use) => [use, 0]));
  const heldByPool = new Map<MemoryPool, number>(POOLS.map((pool) => [pool, 0]));
  /** Bodies that were released by large leases, and possibly not yet returned to the system. */
  let unreturned = 0;
  let holdMs = INITIAL_HOLD_MS;

  const heldBytes = (pool: MemoryPool): number => heldByPool.get(pool) ?? 0;

  const add = (use: MemoryUse, bytes: number): void => {
    const pool = POOL_OF[use];
    heldByPool.set(pool, heldBytes(pool) + bytes);
    heldByUse.set(use, (heldByUse.get(use) ?? 0) + bytes);
  };

  const returnFreed = (): void => {
    const startedAt = clock.now();
    collect();
    const tookMs = Math.round(clock.now() - startedAt);
    log.info('memory.returned', { bytes: unreturned, held: heldBytes('bodies'), tookMs });
    unreturned = 0;
  };

  const noteFreed = (use: MemoryUse, bytes: number): void => {
    if (POOL_OF[use] === 'bodies') unreturned += bytes;
  };

  /** @param bytes size of a lease with the additional bytes */
  const hasRoom = (use: MemoryUse, bytes: number, more: number = bytes): boolean => {
    if (more <= 0) return true;
    const pool = POOL_OF[use];
    const limitBytes = limits[pool] * (bytes <= SMALL_LEASE_BYTES ? 1 : 1 - RESERVED_PART);
    return heldBytes(pool) + more <= limitBytes;
  };

  /** Returns what was freed if the additional bytes would exceed the limit beside it. */
  const makeRoom = (use: MemoryUse, more: number): void => {
    if (POOL_OF[use] !== 'bodies' || unreturned === 0 || more <= 0) return;
    if (heldBytes('bodies') + unreturned + more > limits.bodies) returnFreed();
  };

  const refuse = (use: MemoryUse, bytes: number): void => {
    const pool = POOL_OF[use];
    metrics.count(`memory_refused_${use}`);
    log.warn('memory.refused', { use, bytes, held: heldBytes(pool), limitBytes: limits[pool] });
  };

  const newLease = (use: MemoryUse, initialBytes: number): MemoryLease => {
    const startedAt = clock.now();
    let size = initialBytes;
    let isReleased = false;
    add(use, initialBytes);
    const resize = (bytes: number): boolean => {
      if (isReleased) return false;
      if (!hasRoom(use, bytes, bytes - size)) {
        refuse(use, bytes);
        return false;
      }
      makeRoom(use, bytes - size);
      if (bytes < size && size > SMALL_LEASE_BYTES) noteFreed(use, size - bytes);
      add(use, bytes - size);
      size = bytes;
      return true;
    };
    return {
      resize,
      grow: (bytes) => resize(size + bytes),
      add: (bytes) => {
        if (isReleased) return;
        add(use, bytes);
        size += bytes;
      },
      release: () => {
        if (isReleased) return;
        isReleased = true;
        add(use, -size);
        if (size <= SMALL_LEASE_BYTES) return;
        noteFreed(use, size);
        if (POOL_OF[use] !== 'bodies') return;
        holdMs += HOLD_TIME_WEIGHT * (clock.now() - startedAt - holdMs);
      },
    };
  };

  POOLS.forEach((pool) => {
    metrics.gauge(`memory_limit_bytes_of_${pool}`, () => limits[pool]);
    metrics.gauge(`memory_held_bytes_of_${pool}`, () => heldBytes(pool));
  });
  metrics.gauge('memory_unreturned_bytes', () => unreturned);
  USES.forEach((use) => metrics.gauge(`memory_held_bytes_${use}`, () => heldByUse.get(use) ?? 0));

  return {
    limits,
    hasRoom,
    /** @returns null if the budget has no room for the bytes now */
    reserve: (use: MemoryUse, bytes: number): MemoryLease | null => {
      if (!hasRoom(use, bytes)) {
        refuse(use, bytes);
        return null;
      }
      makeRoom(use, bytes);
      return newLease(use, bytes);
    },
    /** Counts bytes that have to be held in any case; what is asked for next is refused instead. */
    hold: newLease,
    /** Counts buffers that were used and dropped under a lease that goes on. */
    noteFreed: (bytes: number): void => {
      unreturned += bytes;
      const isOver = heldBytes('bodies') + unreturned > limits.bodies;
      if (unreturned >= MIN_RETURNED_BYTES && isOver) returnFreed();
    },
    /** After how many milliseconds a body that has no room now can be expected to have some. */
    retryAfterMs: (): number => Math.round(Math.min(MAX_RETRY_MS, Math.max(MIN_RETRY_MS, holdMs))),
    heldBytes,
  };
};

export type MemoryBudget = ReturnType<typeof newMemoryBudget>;

export default newMemoryBudget;
