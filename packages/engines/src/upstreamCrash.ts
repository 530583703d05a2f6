import { z } from 'zod';

/** What a request is part of: a caller's call, the run of an item of a batch, or the scoring of one. */
export const requestWorkSchema = z.enum(['call', 'item', 'scoring']);

export type RequestWork = z.infer<typeof requestWorkSchema>;

/** Hosts keep these names for minutes. */
const MAX_NAME_LENGTH = 1_024;

/** An upstream that ended while it ran a request. */
export const upstreamCrashSchema = z.object({
  /** Digest of the request. */
  digest: z.string().max(MAX_NAME_LENGTH),
  /** Identifies the incarnation of the upstream. */
  upstream: z.string().max(MAX_NAME_LENGTH),
  /** Unix time in milliseconds, by the clock of the host that ran the request. */
  endedAt: z.number(),
  /** How much the crash counts against the request, from 0 to 1. */
  weight: z.number().min(0).max(1).default(1),
  work: requestWorkSchema.default('call'),
});

export type UpstreamCrash = z.infer<typeof upstreamCrashSchema>;
