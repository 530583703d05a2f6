import { upstreamKindSchema } from '@cyclamengate/settings/serviceSettings';
import { z } from 'zod';

/** The wanted number of upstreams of one service and kind in one failure domain. */
export const upstreamOrderSchema = z.object({
  failureDomain: z.string(),
  service: z.string(),
  kind: upstreamKindSchema,
  wanted: z.int().min(0),
  /** Number of the lease under which it is sent; the platform refuses lower ones. */
  fence: z.int(),
});

export type UpstreamOrder = z.infer<typeof upstreamOrderSchema>;
