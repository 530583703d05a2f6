import { z } from 'zod';

const addressSchema = z.string().regex(/^[\d.]+:\d+$/, 'an IPv4 address and a port');

/** If the platform does not say how often. */
const DEFAULT_WRITE_INTERVAL_MS = 1_200;

/** Settings of one host process. */
export const hostSettingsSchema = z.object({
  host: z.string().min(1),
  failureDomain: z.string().min(1),
  /** The region of each failure domain. */
  regions: z.record(z.string(), z.string()).default({}),
  address: z.string(),
  /** Processor time that this host may use on its machine. */
  processor: z.object({
    cores: z.number().min(0),
    /** Fraction of the cores' time, from 0 to 1. */
    share: z.number().min(0).max(1),
  }),
  listen: z.object({
    callers: addressSchema,
    readiness: addressSchema,
    /** Address for other hosts. */
    peers: addressSchema,
    metricsPort: z.int().min(1).max(65_535),
  }),
  store: z.object({ address: addressSchema }),
  duties: z.object({ address: addressSchema }),
  terms: z.object({
    /** Lease duration, in milliseconds. */
    leaseMs: z.number().min(1_000),
    /** Time from the stop signal until the process is killed. */
    shutdownSeconds: z.number().min(1),
    usageWindowSeconds: z.number().min(1),
    /** How long a batch can be read after it was accepted. */
    batchLifeSeconds: z.number().min(1),
    /** How often upstreams write their entries, in milliseconds; a platform that states none leaves a text. */
    upstreamWriteIntervalMs: z.number().min(1).catch(DEFAULT_WRITE_INTERVAL_MS),
  }),
  /** Memory of this process. */
  memory: z
    .strictObject({
      /** Memory beyond which the platform ends the process, in MiB; a smaller machine has less. */
      limitMb: z.int().min(64).max(65_536).default(390),
    })
    .prefault({}),
  /** How the places of plain services are divided while they are scarce. */
  shares: z
    .strictObject({
      /** Fraction of the places kept free of background work and of customers over their share. */
      reservedPart: z.number().min(0).max(0.5).default(0.25),
      /** Fraction of the places that background work gets however many callers there are. */
      floorPart: z.number().min(0).max(0.5).default(0.05),
      /** Maximum number of a customer's waiting requests at one service on one host. */
      maxWaiting: z.int().min(1).max(100_000).default(512),
    })
    .prefault({}),
});

export type HostSettings = z.infer<typeof hostSettingsSchema>;
