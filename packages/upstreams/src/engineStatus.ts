import { z } from 'zod';

/** Status reported by an upstream. */
export const engineStatusSchema = z.object({
  id: z.string(),
  active: z.int(),
  slots: z.int(),
  isLeaving: z.boolean(),
  /** Active weight version by trainer; a trainer whose weight swap failed midway is absent. */
  versions: z.record(z.string(), z.int()),
  /** Weight version being loaded, by trainer. */
  loading: z.record(z.string(), z.int()),
});

export type EngineStatus = z.infer<typeof engineStatusSchema>;
