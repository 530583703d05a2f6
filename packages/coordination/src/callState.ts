import { z } from 'zod';

/** Calls that may not be repeated, by customer and idempotency key. */
export const callStateSchema = z.object({
  attempt: z.string(),
  requestDigest: z.string(),
  outcome: z.enum(['claimed', 'ran', 'unknown']),
  at: z.number(),
});

export type CallState = z.infer<typeof callStateSchema>;
export type CallStates = Record<string, CallState>;
