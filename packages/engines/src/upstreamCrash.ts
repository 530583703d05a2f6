import { z } from 'zod';

/** An upstream that ended while it ran a request. */
export const upstreamCrashSchema = z.object({
  /** Digest of the request. */
  digest: z.string(),
  /** Identifies the incarnation of the upstream. */
  upstream: z.string(),
  /** Unix time in milliseconds, by the clock of the host that ran the request. */
  endedAt: z.number(),
});

export type UpstreamCrash = z.infer<typeof upstreamCrashSchema>;
