import { upstreamKindSchema } from '@cyclamengate/settings/serviceSettings';
import { z } from 'zod';

export const upstreamStateSchema = z.enum(['starting', 'live', 'leaving']);

/** An upstream as the platform lists it, with a lag. */
export const upstreamStatusSchema = z.object({
  id: z.string(),
  service: z.string(),
  failureDomain: z.string(),
  kind: upstreamKindSchema,
  url: z.string(),
  state: upstreamStateSchema,
  /** The platform takes it back on its own account, with seconds' notice. */
  reclaimed: z.boolean().default(false),
});

export type UpstreamStatus = z.infer<typeof upstreamStatusSchema>;
