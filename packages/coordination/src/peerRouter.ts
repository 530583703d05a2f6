import { logRecordSchema } from '@cyclamengate/platform/logRecord';
import { initTRPC } from '@trpc/server';
import { z } from 'zod';
import { exchangeSchema } from './exchange.js';
import type { Exchange } from './exchange.js';
import { memberSchema } from './member.js';
import type { SourcePage } from './RecordSource.js';
import type { SystemState } from './systemState.js';
import { usageDeltaSchema } from './usageRecords.js';
import type { UsageDelta } from './usageRecords.js';

/** Longest time for which a peer holds a read open. */
export const LONGEST_WAIT_MS = 2_000;

export const sourcePageSchema = z.object({
  records: z.array(logRecordSchema),
  first: z.int(),
  logFirst: z.int(),
  ageMs: z.number(),
});

const copySchema = z.object({
  host: z.string(),
  /** Deltas not yet in the log; an empty list says that all are. */
  deltas: z.array(usageDeltaSchema),
});

/** Members as one host sees them. */
export const membersSeenSchema = z.object({
  live: z.array(memberSchema),
  /** Not heard of lately: dead, or on the other side of a cut. */
  silent: z.array(memberSchema),
});

export type MembersSeen = z.infer<typeof membersSeenSchema>;

/** What a process does for its peers. */
export interface PeerService {
  exchange: (told: Exchange) => Exchange;
  records: (from: number, waitMs: number) => Promise<SourcePage>;
  snapshot: () => SystemState;
  members: () => MembersSeen;
  keepUsage: (host: string, deltas: UsageDelta[]) => void;
  keepPayload: (digest: string, payload: string) => boolean;
  readPayload: (digest: string) => string | null;
}

const t = initTRPC.create();

/** The procedures through which the system's own processes talk. */
export const newPeerRouter = (service: PeerService) =>
  t.router({
    exchange: t.procedure.input(exchangeSchema).mutation(({ input }) => service.exchange(input)),
    records: t.procedure
      .input(z.object({ from: z.int(), waitMs: z.int().min(0).max(LONGEST_WAIT_MS) }))
      .query(({ input }) => service.records(input.from, input.waitMs)),
    /** As text: a state is checked once, by the reader. */
    snapshot: t.procedure.query(() => JSON.stringify(service.snapshot())),
    /** The offset in force here; for whoever waits until a change is in force everywhere. */
    offset: t.procedure.query(() => service.snapshot().offset),
    members: t.procedure.query(() => service.members()),
    keepUsage: t.procedure
      .input(copySchema)
      .mutation(({ input }) => service.keepUsage(input.host, input.deltas)),
    keepPayload: t.procedure
      .input(z.object({ digest: z.string(), payload: z.string() }))
      .mutation(({ input }) => service.keepPayload(input.digest, input.payload)),
    readPayload: t.procedure
      .input(z.object({ digest: z.string() }))
      .query(({ input }) => service.readPayload(input.digest)),
  });

export type PeerRouter = ReturnType<typeof newPeerRouter>;
