import { z } from 'zod';
import { nameSchema } from './names.js';

export const trainerSettingsSchema = z.strictObject({
  id: nameSchema,
  customer: nameSchema,
  /** The model service whose weights this trainer publishes. */
  service: nameSchema,
  scoringService: nameSchema.optional(),
  /** How many published versions a sample may lag behind the newest one. */
  stalenessBoundVersions: z.int().min(0).max(1000).default(2),
  /** Maximum number of extra copies that one step may start for stragglers. */
  maxLateCopies: z.int().min(0).max(10_000).default(8),
});

export type TrainerSettings = z.infer<typeof trainerSettingsSchema>;
