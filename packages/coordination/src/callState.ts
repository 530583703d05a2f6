import { z } from 'zod';

/** The state of a call that must not be repeated, identified by customer and idempotency key. */
export const callStateSchema = z.object({
  attempt: z.string(),
  requestDigest: z.string(),
  outcome: z.enum(['claimed', 'ran', 'unknown']),
  at: z.number(),
});

export type CallState = z.infer<typeof callStateSchema>;
export type CallStates = Record<string, CallState>;
