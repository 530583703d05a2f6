import digest from '@cyclamengate/common/digest';
import { versionSegmentSchema } from '@cyclamengate/coordination/sampleRecords';
import { z } from 'zod';

/** The sample that a trainer receives for one slot. */
export const sampleSchema = z.object({
  trainer: z.string(),
  step: z.int(),
  slot: z.int(),
  group: z.int(),
  prompt: z.string(),
  tokens: z.array(z.string()),
  /** The weight versions that produced consecutive ranges of the tokens, in order. */
  segments: z.array(versionSegmentSchema),
  score: z.number().nullable(),
});

export type Sample = z.infer<typeof sampleSchema>;

/** Serializes a sample for replication and storage, with the digest of its serialized text. */
export const serializeSample = (sample: Sample): { payload: string; payloadDigest: string } => {
  const payload = JSON.stringify(sample);
  return { payload, payloadDigest: digest(payload) };
};
