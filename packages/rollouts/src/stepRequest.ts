import { z } from 'zod';

const MAX_STEP_TIMEOUT_MS = 3_600_000;

/** A trainer's request for a step of grouped samples. */
export const stepRequestSchema = z
  .strictObject({
    step: z.int().min(0),
    groupSize: z.int().min(1).max(10_000),
    /** One prompt per group. */
    prompts: z.array(z.string().max(100_000)).min(1).max(10_000),
    maxTokens: z.int().min(1).max(100_000),
    /** How long the trainer waits for the complete step. */
    timeoutMs: z.int().min(1).max(MAX_STEP_TIMEOUT_MS).default(180_000),
  })
  .refine(({ prompts, groupSize }) => prompts.length * groupSize <= 100_000, {
    message: 'allowed: at most 100000 samples a step',
  });

export type StepRequest = z.infer<typeof stepRequestSchema>;
