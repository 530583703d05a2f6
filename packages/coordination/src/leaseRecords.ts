import { z } from 'zod';

/** Claims or renews a lease. `basedOn` is the offset of the last record that changed the lease. */
export const leaseClaimSchema = z.object({
  type: z.literal('lease-claim'),
  lease: z.string(),
  holder: z.string(),
  basedOn: z.int(),
});

export type LeaseClaim = z.infer<typeof leaseClaimSchema>;

/** Releases a lease before its term ends. */
export const leaseReleaseSchema = z.object({
  type: z.literal('lease-release'),
  lease: z.string(),
  holder: z.string(),
  basedOn: z.int(),
});

export type LeaseRelease = z.infer<typeof leaseReleaseSchema>;
