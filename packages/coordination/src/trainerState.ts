import { z } from 'zod';
import { versionSegmentSchema } from './sampleRecords.js';

export const boundSampleSchema = z.object({
  digest: z.string(),
  holders: z.array(z.string()),
  segments: z.array(versionSegmentSchema),
});

export type BoundSample = z.infer<typeof boundSampleSchema>;

export const slotStateSchema = z.object({
  attempt: z.int(),
  sample: boundSampleSchema.nullable(),
});

export const stepStateSchema = z.object({
  groups: z.int(),
  groupSize: z.int(),
  slots: z.array(slotStateSchema),
  /** Slots in the order in which the trainer reads them. */
  delivery: z.array(z.int()),
  /** Positions before this one may have been sent to the trainer and no longer change. */
  offered: z.int(),
});

export type StepState = z.infer<typeof stepStateSchema>;

export const trainerStateSchema = z.object({
  version: z.int(),
  steps: z.record(z.string(), stepStateSchema),
});

export type TrainerState = z.infer<typeof trainerStateSchema>;
