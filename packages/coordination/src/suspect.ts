import { z } from 'zod';

/** A request, by digest, and the upstreams that died while they ran it. */
export const suspectSchema = z.object({
  digest: z.string(),
  upstreams: z.array(z.string()),
});

export type Suspect = z.infer<typeof suspectSchema>;
