import type { WriteOutcome } from '@cyclamengate/store/newStoreWriter';
import { heartbeatSchema } from '@cyclamengate/hosts/coordinationRecord';
import type { Heartbeat } from '@cyclamengate/hosts/coordinationRecord';
import { initTRPC } from '@trpc/server';
import { z } from 'zod';
import { batchChangeSchema, batchSchema, handoverSchema } from './batchRecord.js';
import type { Batch, BatchChange, Handover } from './batchRecord.js';

export const writeOutcomeSchema = z.enum(['written', 'not-written', 'unknown']);

/** How well a host reaches the store: not at all, again since a moment ago, or for some time. */
export type Touch = 'none' | 'new' | 'steady';

/** Longest time that a host spends on a peer's record, in milliseconds. */
const LONGEST_MS = 2_000;

const keepSchema = z.object({
  record: batchChangeSchema,
  /** What the caller still waits; durations, since two hosts share no monotonic clock. */
  withinMs: z.number().min(0).max(LONGEST_MS),
});

const beginnerSchema = z.object({
  batch: z.string(),
  host: z.string(),
  /** IP address and port for other hosts. */
  address: z.string(),
});

/** Which host was told to begin a batch before the store had it. */
export type Beginner = z.infer<typeof beginnerSchema>;

/**
 * What became of an order to begin a batch: the host runs it, has read that the store has it, or
 * takes no new work.
 */
export type BeginOutcome = 'begun' | 'kept' | 'leaving';

/** What a host does for its peers. */
export interface PeerService {
  /** Writes a record of batches to the store. */
  keep: (record: BatchChange, withinMs: number) => Promise<WriteOutcome>;
  /** Begins a batch that the store does not have. */
  begin: (batch: Batch) => BeginOutcome;
  /** Whether this host has begun a batch. */
  hasBegun: (batch: string) => boolean;
  /** Hears that another host has begun a batch. */
  noteBegun: (begun: Beginner) => void;
  /** Goes on with a batch of another host; @returns false where it takes no new work. */
  takeOver: (handover: Handover) => Promise<boolean>;
  /** Writes down for a host that can't do so that it takes no new work; @returns whether it stands. */
  announce: (heartbeat: Heartbeat) => Promise<boolean>;
  /** Whether this host can read all that the store has of batches now. */
  touch: () => Promise<Touch>;
}

const t = initTRPC.create();

/** The procedures through which hosts talk to one another. */
export const newPeerRouter = (service: PeerService) =>
  t.router({
    keep: t.procedure
      .input(keepSchema)
      .mutation(({ input }) => service.keep(input.record, input.withinMs)),
    begin: t.procedure.input(batchSchema).mutation(({ input }) => service.begin(input)),
    hasBegun: t.procedure.input(z.string()).query(({ input }) => service.hasBegun(input)),
    noteBegun: t.procedure.input(beginnerSchema).mutation(({ input }) => service.noteBegun(input)),
    takeOver: t.procedure.input(handoverSchema).mutation(({ input }) => service.takeOver(input)),
    announce: t.procedure.input(heartbeatSchema).mutation(({ input }) => service.announce(input)),
    touch: t.procedure.query(() => service.touch()),
  });

export type PeerRouter = ReturnType<typeof newPeerRouter>;
