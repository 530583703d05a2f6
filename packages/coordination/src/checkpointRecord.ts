import { z } from 'zod';

/** The complete state up to and including an offset, which makes older records unnecessary. */
export const checkpointRecordSchema = z.object({
  type: z.literal('checkpoint'),
  covers: z.int(),
  state: z.unknown(),
});

export type CheckpointRecord = z.infer<typeof checkpointRecordSchema>;
