import { z } from 'zod';

/** An order for a version of a trainer's weights on one engine. */
export const weightOrderSchema = z.object({
  trainer: z.string(),
  version: z.int(),
  fence: z.int(),
});

export type WeightOrder = z.infer<typeof weightOrderSchema>;
