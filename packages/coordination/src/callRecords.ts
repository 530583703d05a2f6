import { z } from 'zod';

/** Claims the right to run a call that must not be repeated. The first claim of a key wins. */
export const callClaimSchema = z.object({
  type: z.literal('call-claim'),
  customer: z.string(),
  idempotencyKey: z.string(),
  requestDigest: z.string(),
  attempt: z.string(),
});

export type CallClaim = z.infer<typeof callClaimSchema>;

/** Ends a claim with the outcome of the call; after `not-run` the call can be claimed again. */
export const callOutcomeSchema = z.object({
  type: z.literal('call-outcome'),
  customer: z.string(),
  idempotencyKey: z.string(),
  attempt: z.string(),
  outcome: z.enum(['not-run', 'ran', 'unknown']),
});

export type CallOutcome = z.infer<typeof callOutcomeSchema>;
