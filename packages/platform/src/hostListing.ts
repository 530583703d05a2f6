import { z } from 'zod';
import { upstreamStatusSchema } from './upstreamStatus.js';

export const hostListingSchema = z.object({
  upstreams: z.array(upstreamStatusSchema),
});

export type HostListing = z.infer<typeof hostListingSchema>;
