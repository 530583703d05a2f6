import { upstreamKindSchema } from '@cyclamengate/settings/serviceSettings';
import { z } from 'zod';

export const upstreamStateSchema = z.enum(['starting', 'live', 'leaving']);

/** An upstream as the platform lists it; the host list lags. */
export const upstreamStatusSchema = z.object({
  id: z.string(),
  service: z.string(),
  failureDomain: z.string(),
  kind: upstreamKindSchema,
  url: z.string(),
  state: upstreamStateSchema,
  /** Whether the platform is reclaiming the upstream, with a few seconds' notice. */
  reclaimed: z.boolean().default(false),
});

export type UpstreamStatus = z.infer<typeof upstreamStatusSchema>;
