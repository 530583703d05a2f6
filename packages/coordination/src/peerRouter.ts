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

/** Maximum time for which a peer holds a read open. */
export const MAX_WAIT_MS = 2_000;

export const sourcePageSchema = z.object({
  records: z.array(logRecordSchema),
  first: z.int(),
  logFirst: z.int(),
  ageMs: z.number(),
});

const usageCopySchema = z.object({
  host: z.string(),
  /** Deltas that are not in the log yet; empty if all of them are. */
  deltas: z.array(usageDeltaSchema),
});

/** One host's view of the members. */
export const membersViewSchema = z.object({
  live: z.array(memberSchema),
  /** Members without a recent heartbeat: dead, or on the other side of a network partition. */
  silent: z.array(memberSchema),
});

export type MembersView = z.infer<typeof membersViewSchema>;

/** The operations that a process provides to its peers. */
export interface PeerService {
  exchange: (received: Exchange) => Exchange;
  records: (from: number, waitMs: number) => Promise<SourcePage>;
  snapshot: () => SystemState;
  members: () => MembersView;
  keepUsage: (host: string, deltas: UsageDelta[]) => void;
  keepPayload: (digest: string, payload: string) => boolean;
  readPayload: (digest: string) => string | null;
}

const t = initTRPC.create();

/** The procedures for calls between the system's own processes. */
export const newPeerRouter = (service: PeerService) =>
  t.router({
    exchange: t.procedure.input(exchangeSchema).mutation(({ input }) => service.exchange(input)),
    records: t.procedure
      .input(z.object({ from: z.int(), waitMs: z.int().min(0).max(MAX_WAIT_MS) }))
      .query(({ input }) => service.records(input.from, input.waitMs)),
    /** Sent as text, so that the state is only validated once, by the reader. */
    snapshot: t.procedure.query(() => JSON.stringify(service.snapshot())),
    /** The offset applied here; for callers that wait until a change is in force on every host. */
    offset: t.procedure.query(() => service.snapshot().offset),
    members: t.procedure.query(() => service.members()),
    keepUsage: t.procedure
      .input(usageCopySchema)
      .mutation(({ input }) => service.keepUsage(input.host, input.deltas)),
    keepPayload: t.procedure
      .input(z.object({ digest: z.string(), payload: z.string() }))
      .mutation(({ input }) => service.keepPayload(input.digest, input.payload)),
    readPayload: t.procedure
      .input(z.object({ digest: z.string() }))
      .query(({ input }) => service.readPayload(input.digest)),
  });

export type PeerRouter = ReturnType<typeof newPeerRouter>;
