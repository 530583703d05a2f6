import { z } from 'zod';

/** Requests of each customer that began to run in a usage window. */
export const usageCountsSchema = z.record(z.string(), z.int().min(0));

export type UsageCounts = z.infer<typeof usageCountsSchema>;

/** A host is there, and what others need to know of it. */
export const heartbeatSchema = z.object({
  type: z.literal('heartbeat'),
  host: z.string(),
  /** This run of the host's process. */
  incarnation: z.string(),
  /** Of this heartbeat within the run, from 1; 0 where a host of an older version gives none. */
  number: z.int().default(0),
  failureDomain: z.string(),
  /** Where other hosts reach it: IP address and port. */
  address: z.string(),
  /** Cores that it has, in parts of one. */
  cores: z.number().min(0),
  /** The host finishes what it has and takes nothing new. */
  isLeaving: z.boolean(),
  /** Requests that the host runs at each upstream. */
  running: z.record(z.string(), z.int()),
  /** Counts of whole windows of usage, by window number; totals, so that a repeat changes nothing. */
  usage: z.record(z.string(), usageCountsSchema),
  /** The newest window whose counts on this host are final. */
  countedThrough: z.int(),
});

export type Heartbeat = z.infer<typeof heartbeatSchema>;

/** A host takes or renews a lease. Void unless `previous` is the lease's newest record. */
export const leaseClaimSchema = z.object({
  type: z.literal('lease'),
  subject: z.string(),
  host: z.string(),
  incarnation: z.string(),
  /** Number of this claim within the run of the process. */
  number: z.int(),
  /** Offset of the record that this one follows; -1 for none. */
  previous: z.int(),
  /** The holder gives the lease back. */
  isReleased: z.boolean(),
});

export type LeaseClaim = z.infer<typeof leaseClaimSchema>;

/** The counts of a window are fixed; whoever reports it sends these. */
export const usageCloseSchema = z.object({
  type: z.literal('usage-close'),
  window: z.int(),
  counts: usageCountsSchema,
});

/** The platform has taken the report of a window. */
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
