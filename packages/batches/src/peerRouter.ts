import { addressSchema } from '@cyclamengate/common/address';
import listOf from '@cyclamengate/common/listOf';
import type { WriteOutcome } from '@cyclamengate/store/newStoreWriter';
import { heartbeatSchema } from '@cyclamengate/hosts/coordinationRecord';
import type { Heartbeat } from '@cyclamengate/hosts/coordinationRecord';
import type { Evacuation } from '@cyclamengate/engines/newEvacuations';
import { upstreamCrashSchema } from '@cyclamengate/engines/upstreamCrash';
import type { UpstreamCrash } from '@cyclamengate/engines/upstreamCrash';
import { initTRPC } from '@trpc/server';
import { z } from 'zod';
import { batchChangeSchema, batchSchema, handoverSchema } from './batchRecord.js';
import type { Batch, BatchChange, Handover } from './batchRecord.js';

/** How well a host reaches the store: not at all, only since recently, or steadily. */
export type StoreReachability = 'none' | 'new' | 'steady';

/** Maximum time that a host spends on a peer's record, in milliseconds. */
const MAX_WRITE_MS = 2_000;

/** A name that a host keeps. */
const MAX_NAME_LENGTH = 1_024;

/** Number of crashes of upstreams that two hosts exchange in one call. */
export const MAX_EXCHANGED_CRASHES = 128;

const trialSchema = z.object({
  /** Digest of the request. */
  digest: z.string(),
  crashes: listOf(upstreamCrashSchema, MAX_EXCHANGED_CRASHES),
});

const keepSchema = z.object({
  record: batchChangeSchema,
  /**
   * Time for which the caller still waits; a duration, since two hosts share no monotonic clock.
   */
  withinMs: z.number().min(0).max(MAX_WRITE_MS),
});

const nameSchema = z.string().min(1).max(MAX_NAME_LENGTH);

const executorSchema = z.object({
  batch: nameSchema,
  host: nameSchema,
  /** IP address and port for other hosts. */
  address: addressSchema,
});

/** Host that was told to begin a batch before the store had it. */
export type BatchExecutor = z.infer<typeof executorSchema>;

/**
 * Outcome of an order to begin a batch: the host runs it, already has it from the store or has
 * handed it over, or takes no new work.
 */
export type BeginOutcome = 'begun' | 'kept' | 'leaving';

/** Procedures that a host provides to its peers. */
export interface PeerService {
  /** Writes a batch record to the store. */
  keep: (record: BatchChange, withinMs: number) => Promise<WriteOutcome>;
  /** Begins a batch that the store does not have. */
  begin: (batch: Batch) => BeginOutcome;
  /** Whether this host has begun a batch. */
  hasBegun: (batch: string) => boolean;
  /** Records that another host has begun a batch. */
  noteBegun: (begun: BatchExecutor) => void;
  /** Takes over a batch of another host; @returns whether this host takes it. */
  takeOver: (handover: Handover) => Promise<boolean>;
  /**
   * Writes the heartbeat of a host that cannot write it itself and takes no new work; @returns
   * whether it was written.
   */
  announce: (heartbeat: Heartbeat) => Promise<boolean>;
  /** Merges the sender's crashes of upstreams into this host's; @returns this host's. */
  exchangeCrashes: (crashes: UpstreamCrash[]) => UpstreamCrash[];
  /**
   * Grants the sender the run of a request that ended upstreams, after merging the crashes that the
   * sender knows; @returns for how long it has to wait, in milliseconds; 0 if it may run it now.
   */
  claimTrial: (digest: string, crashes: UpstreamCrash[]) => number;
  /** Takes a grant back whose run did not reach an upstream. */
  cancelTrial: (digest: string) => void;
  /** The operator's settings as published if they are newer than a version; null if not. */
  findNewerSettings: (version: number) => string | null;
  /** The state of all failure domains that were ever evacuated. */
  listEvacuations: () => Evacuation[];
  /** How well this host can read the batches from the store. */
  touch: () => Promise<StoreReachability>;
}

const t = initTRPC.create();

/** Procedures for calls between hosts. */
export const newPeerRouter = (service: PeerService) =>
  t.router({
    keep: t.procedure
      .input(keepSchema)
      .mutation(({ input }) => service.keep(input.record, input.withinMs)),
    begin: t.procedure.input(batchSchema).mutation(({ input }) => service.begin(input)),
    hasBegun: t.procedure.input(z.string()).query(({ input }) => service.hasBegun(input)),
    noteBegun: t.procedure.input(executorSchema).mutation(({ input }) => service.noteBegun(input)),
    takeOver: t.procedure.input(handoverSchema).mutation(({ input }) => service.takeOver(input)),
    announce: t.procedure.input(heartbeatSchema).mutation(({ input }) => service.announce(input)),
    exchangeCrashes: t.procedure
      .input(listOf(upstreamCrashSchema, MAX_EXCHANGED_CRASHES))
      .mutation(({ input }) => service.exchangeCrashes(input)),
    claimTrial: t.procedure
      .input(trialSchema)
      .mutation(({ input }) => service.claimTrial(input.digest, input.crashes)),
    cancelTrial: t.procedure.input(z.string()).mutation(({ input }) => service.cancelTrial(input)),
    findNewerSettings: t.procedure
      .input(z.int())
      .query(({ input }) => service.findNewerSettings(input)),
    listEvacuations: t.procedure.query(() => service.listEvacuations()),
    touch: t.procedure.query(() => service.touch()),
  });

export type PeerRouter = ReturnType<typeof newPeerRouter>;
