import digest from '@cyclamengate/common/digest';
import { versionSegmentSchema } from '@cyclamengate/coordination/sampleRecords';
import { z } from 'zod';

/** What a trainer gets for one slot. */
export const sampleSchema = z.object({
  trainer: z.string(),
  step: z.int(),
  slot: z.int(),
  group: z.int(),
  prompt: z.string(),
  tokens: z.array(z.string()),
  /** Which weights produced which stretch of the tokens, in order. */
  segments: z.array(versionSegmentSchema),
  score: z.number().nullable(),
});

export type Sample = z.infer<typeof sampleSchema>;

/** A sample as it is copied and kept: its text and the digest of exactly that text. */
export const sealSample = (sample: Sample): { payload: string; payloadDigest: string } => {
  const payload = JSON.stringify(sample);
  return { payload, payloadDigest: digest(payload) };
};
