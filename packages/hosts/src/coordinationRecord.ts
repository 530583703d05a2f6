import { z } from 'zod';

/** Number of each customer's requests that started in a usage window. */
export const usageCountsSchema = z.record(z.string(), z.int().min(0));

export type UsageCounts = z.infer<typeof usageCountsSchema>;

/** Announces that a host is live, with the state that other hosts need. */
export const heartbeatSchema = z.object({
  type: z.literal('heartbeat'),
  host: z.string(),
  /** Unique to this run of the host's process. */
  incarnation: z.string(),
  /** Sequence number within the incarnation, from 1; 0 if the host's version sends none. */
  number: z.int().default(0),
  failureDomain: z.string(),
  /** IP address and port at which other hosts reach this one. */
  address: z.string(),
  /** Number of cores; may be fractional. */
  cores: z.number().min(0),
  /** The host is draining: it finishes its work and accepts no new work. */
  isLeaving: z.boolean(),
  /** Number of requests that the host is running at each upstream. */
  running: z.record(z.string(), z.int()),
  /** Number of requests that the host runs or has waiting at each service. */
  demand: z.record(z.string(), z.int()).optional(),
  /** Upstreams that are clearly faster or slower than their peers, with their pace. */
  paces: z.record(z.string(), z.number()).optional(),
  /** Usage counts by window number; totals, so that applying them again changes nothing. */
  usage: z.record(z.string(), usageCountsSchema),
  /** The newest window whose counts on this host are final. */
  countedThrough: z.int(),
});

export type Heartbeat = z.infer<typeof heartbeatSchema>;

/** Claims, renews or releases a lease. Void if a valid record of the lease follows `previous`. */
export const leaseClaimSchema = z.object({
  type: z.literal('lease'),
  subject: z.string(),
  host: z.string(),
  incarnation: z.string(),
  /** Sequence number of this claim within the incarnation. */
  number: z.int(),
  /** Offset of the newest record of the lease that the host had read; -1 for none. */
  previous: z.int(),
  /** The holder releases the lease. */
  isReleased: z.boolean(),
});

export type LeaseClaim = z.infer<typeof leaseClaimSchema>;

/** Fixes the counts of a window; every report of the window contains these counts. */
export const usageCloseSchema = z.object({
  type: z.literal('usage-close'),
  window: z.int(),
  counts: usageCountsSchema,
});

/** The platform has responded to the report of a window, so it is not sent again. */
export const usageReportedSchema = z.object({
  type: z.literal('usage-reported'),
  window: z.int(),
});

export const coordinationRecordSchema = z.discriminatedUnion('type', [
  heartbeatSchema,
  leaseClaimSchema,
  usageCloseSchema,
  usageReportedSchema,
]);

export type CoordinationRecord = z.infer<typeof coordinationRecordSchema>;
