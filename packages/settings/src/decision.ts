import { z } from 'zod';

/** What the fold made of a record. The same at every reader. */
export const decisionSchema = z.strictObject({
  accepted: z.boolean(),
  /** Why it was refused, for the one who wrote it; empty when accepted. */
  reason: z.string(),
});

export type Decision = z.infer<typeof decisionSchema>;

export const ACCEPTED: Decision = { accepted: true, reason: '' };

/** @param reason what the writer should know */
export const rejected = (reason: string): Decision => ({ accepted: false, reason });
