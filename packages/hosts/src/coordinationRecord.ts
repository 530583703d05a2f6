import { addressSchema } from '@cyclamengate/common/address';
import recordOf from '@cyclamengate/common/recordOf';
import { z } from 'zod';

/** Ranges of what a record may state; what is beyond them another program wrote. */
export const MAX_NAME_LENGTH = 512;
export const MAX_CORES = 4_096;
export const MAX_COUNT = 1_000_000_000;
/** Beyond any window of a second or more in this millennium. */
export const MAX_WINDOW = 99_999_999_999;
export const WINDOW_NAME = /^(0|[1-9]\d{0,10})$/;

/** Names of hosts and leases, which hosts keep. */
const nameSchema = z.string().min(1).max(MAX_NAME_LENGTH);
const countSchema = z.int().min(0).max(MAX_COUNT);
const windowSchema = z.int().min(0).max(MAX_WINDOW);

/** Number of each customer's requests that started in a usage window. */
export const usageCountsSchema = recordOf(countSchema);

export type UsageCounts = z.infer<typeof usageCountsSchema>;

/** Announces that a host is live, with the state that other hosts need. */
export const heartbeatSchema = z.object({
  type: z.literal('heartbeat'),
  host: nameSchema,
  /** Unique to this run of the host's process. */
  incarnation: nameSchema,
  /** Sequence number within the incarnation, from 1; 0 if the host's version sends none. */
  number: countSchema.default(0),
  failureDomain: nameSchema,
  /** IP address and port at which other hosts reach this one. */
  address: addressSchema,
  /** Number of cores; may be fractional. */
  cores: z.number().min(0).max(MAX_CORES),
  /** The host is draining: it finishes its work and accepts no new work. */
  isLeaving: z.boolean(),
  /** Number of requests that the host is running at each upstream. */
  running: recordOf(countSchema),
  /** Number of requests that the host runs or has waiting at each service. */
  demand: recordOf(countSchema).optional(),
  /** Upstreams that are clearly faster or slower than their peers, with their pace. */
  paces: recordOf(z.number()).optional(),
  /** Usage counts by window number; totals, so that applying them again changes nothing. */
  usage: recordOf(usageCountsSchema, z.string().regex(WINDOW_NAME)),
  /** The newest window whose counts on this host are final. */
  countedThrough: z.int().min(-1).max(MAX_WINDOW),
});

export type Heartbeat = z.infer<typeof heartbeatSchema>;

/** Claims, renews or releases a lease. Void if a valid record of the lease follows `previous`. */
export const leaseClaimSchema = z.object({
  type: z.literal('lease'),
  subject: nameSchema,
  host: nameSchema,
  incarnation: nameSchema,
  /** Sequence number of this claim within the incarnation. */
  number: z.int().min(0),
  /** Offset of the newest record of the lease that the host had read; -1 for none. */
  previous: z.int().min(-1),
  /** The holder releases the lease. */
  isReleased: z.boolean(),
});

export type LeaseClaim = z.infer<typeof leaseClaimSchema>;

/** Fixes the counts of a window; every report of the window contains these counts. */
export const usageCloseSchema = z.object({
  type: z.literal('usage-close'),
  window: windowSchema,
  counts: usageCountsSchema,
});

/** The platform has responded to the report of a window, so it is not sent again. */
export const usageReportedSchema = z.object({
  type: z.literal('usage-reported'),
  window: windowSchema,
});

export const coordinationRecordSchema = z.discriminatedUnion('type', [
  heartbeatSchema,
  leaseClaimSchema,
  usageCloseSchema,
  usageReportedSchema,
]);

export type CoordinationRecord = z.infer<typeof coordinationRecordSchema>;
