import { z } from 'zod';
import { nameSchema } from './names.js';

export const upstreamKindSchema = z.enum(['standard', 'cheap']);
export type UpstreamKind = z.infer<typeof upstreamKindSchema>;

/** Upstreams of one service with the same failure domain, kind and price, ordered as a group. */
export const poolSettingsSchema = z.strictObject({
  failureDomain: nameSchema,
  kind: upstreamKindSchema.default('standard'),
  minUpstreams: z.int().min(0).max(10_000).default(1),
  maxUpstreams: z.int().min(0).max(10_000).default(4),
  /** Cost of one running upstream for an hour, in the platform's currency. */
  pricePerHour: z.number().min(0).max(1_000_000).default(1),
});

export type PoolSettings = z.infer<typeof poolSettingsSchema>;

export const serviceSettingsSchema = z.strictObject({
  id: nameSchema,
  type: z.enum(['model', 'plain', 'scoring']),
  /** Whether a call may be retried when its outcome is unknown. Calls to models always may. */
  idempotent: z.boolean().default(true),
  /** Number of requests that one upstream runs concurrently. */
  slotsPerUpstream: z.int().min(1).max(10_000).default(8),
  /** Whether the upstreams refuse orders with a stale fencing token. */
  checksFencing: z.boolean().default(false),
  pools: z.array(poolSettingsSchema).default([]),
});

export type ServiceSettings = z.infer<typeof serviceSettingsSchema>;
