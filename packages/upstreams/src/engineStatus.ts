import { z } from 'zod';

/** What an upstream says of itself. */
export const engineStatusSchema = z.object({
  id: z.string(),
  active: z.int(),
  slots: z.int(),
  isLeaving: z.boolean(),
  /** Weights in force by trainer; a trainer whose swap failed half way is missing. */
  versions: z.record(z.string(), z.int()),
  /** Weights being loaded, by trainer. */
  loading: z.record(z.string(), z.int()),
});

export type EngineStatus = z.infer<typeof engineStatusSchema>;
