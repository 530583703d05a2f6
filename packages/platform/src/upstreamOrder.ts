import { upstreamKindSchema } from '@cyclamengate/settings/serviceSettings';
import { z } from 'zod';

/** The wanted number of upstreams of one service and kind in one failure domain. */
export const upstreamOrderSchema = z.object({
  failureDomain: z.string(),
  service: z.string(),
  kind: upstreamKindSchema,
  wanted: z.int().min(0),
  /** Fencing token of the sender's lease; the platform refuses lower tokens. */
  fence: z.int(),
});

export type UpstreamOrder = z.infer<typeof upstreamOrderSchema>;
