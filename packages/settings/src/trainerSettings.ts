import { z } from 'zod';
import { nameSchema } from './names.js';

export const trainerSettingsSchema = z.strictObject({
  id: nameSchema,
  customer: nameSchema,
  /** The model service whose weights this trainer publishes. */
  service: nameSchema,
  scoringService: nameSchema.optional(),
  /** A sample may be this many published versions behind the newest. */
  stalenessBoundVersions: z.int().min(0).max(1000).default(2),
  /** Extra copies of stragglers that one step may start. */
  maxLateCopies: z.int().min(0).max(10_000).default(8),
});

export type TrainerSettings = z.infer<typeof trainerSettingsSchema>;
