import { z } from 'zod';

/** The right to run a call that may not be repeated. The first claim of a key wins. */
export const callClaimSchema = z.object({
  type: z.literal('call-claim'),
  customer: z.string(),
  idempotencyKey: z.string(),
  requestDigest: z.string(),
  attempt: z.string(),
});

export type CallClaim = z.infer<typeof callClaimSchema>;

/** Ends a claim: the call was never sent (and may be claimed anew), or it was and this came of it. */
export const callOutcomeSchema = z.object({
  type: z.literal('call-outcome'),
  customer: z.string(),
  idempotencyKey: z.string(),
  attempt: z.string(),
  outcome: z.enum(['not-run', 'ran', 'unknown']),
});

export type CallOutcome = z.infer<typeof callOutcomeSchema>;
