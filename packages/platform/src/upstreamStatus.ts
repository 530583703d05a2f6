import { upstreamKindSchema } from '@cyclamengate/settings/serviceSettings';
import { z } from 'zod';

export const upstreamStateSchema = z.enum(['starting', 'live', 'leaving']);

/** An upstream in the list of the platform, which lags. */
export const upstreamStatusSchema = z.object({
  id: z.string(),
  service: z.string(),
  failureDomain: z.string(),
  kind: upstreamKindSchema,
  url: z.string(),
  state: upstreamStateSchema,
  /** Whether the platform is reclaiming the upstream, with a notice of seconds. */
  reclaimed: z.boolean().default(false),
});

export type UpstreamStatus = z.infer<typeof upstreamStatusSchema>;
