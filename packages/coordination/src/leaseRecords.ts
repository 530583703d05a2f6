import { z } from 'zod';

/** Takes or renews a lease. `basedOn` is the offset of the record that last moved it. */
export const leaseClaimSchema = z.object({
  type: z.literal('lease-claim'),
  lease: z.string(),
  holder: z.string(),
  basedOn: z.int(),
});

export type LeaseClaim = z.infer<typeof leaseClaimSchema>;

/** Gives a lease back before its term ends. */
export const leaseReleaseSchema = z.object({
  type: z.literal('lease-release'),
  lease: z.string(),
  holder: z.string(),
  basedOn: z.int(),
});

export type LeaseRelease = z.infer<typeof leaseReleaseSchema>;
