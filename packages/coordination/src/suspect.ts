import { z } from 'zod';

/** The digest of a request, and the upstreams that died while running it. */
export const suspectSchema = z.object({
  digest: z.string(),
  upstreams: z.array(z.string()),
});

export type Suspect = z.infer<typeof suspectSchema>;
