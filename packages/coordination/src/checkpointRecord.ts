import { z } from 'zod';

/** The whole state up to and including an offset, so that older records may be lost. */
export const checkpointRecordSchema = z.object({
  type: z.literal('checkpoint'),
  covers: z.int(),
  state: z.unknown(),
});

export type CheckpointRecord = z.infer<typeof checkpointRecordSchema>;
