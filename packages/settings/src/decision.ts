import { z } from 'zod';

/** Whether the fold accepted a record. Every reader arrives at the same decision. */
export const decisionSchema = z.strictObject({
  accepted: z.boolean(),
  /** Why the record was rejected, for its writer; empty when accepted. */
  reason: z.string(),
});

export type Decision = z.infer<typeof decisionSchema>;

export const ACCEPTED: Decision = { accepted: true, reason: '' };

/** @param reason explains the rejection to the writer of the record */
export const rejected = (reason: string): Decision => ({ accepted: false, reason });
