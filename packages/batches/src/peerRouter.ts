import type { WriteOutcome } from '@cyclamengate/store/newStoreWriter';
import { initTRPC } from '@trpc/server';
import { z } from 'zod';
import { batchRecordSchema } from './batchRecord.js';
import type { BatchRecord } from './batchRecord.js';

export const writeOutcomeSchema = z.enum(['written', 'not-written', 'unknown']);

/** Longest time that a host spends on a peer's record, in milliseconds. */
const LONGEST_MS = 2_000;

const keepSchema = z.object({
  record: batchRecordSchema,
  /** What the caller still waits; durations, since two hosts share no monotonic clock. */
  withinMs: z.number().min(0).max(LONGEST_MS),
});

/** What a host does for its peers. */
export interface PeerService {
  /** Writes a record of batches to the store. */
  keep: (record: BatchRecord, withinMs: number) => Promise<WriteOutcome>;
}

const t = initTRPC.create();

/** The procedures through which hosts talk to one another. */
export const newPeerRouter = ({ keep }: PeerService) =>
  t.router({
    keep: t.procedure.input(keepSchema).mutation(({ input }) => keep(input.record, input.withinMs)),
  });

export type PeerRouter = ReturnType<typeof newPeerRouter>;
