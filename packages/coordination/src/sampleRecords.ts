import { z } from 'zod';

/** The weights version that produced a run of consecutive tokens of a sample. */
export const versionSegmentSchema = z.object({ version: z.int(), tokens: z.int().min(1) });

export type VersionSegment = z.infer<typeof versionSegmentSchema>;

export const weightsPublishedSchema = z.object({
  type: z.literal('weights-published'),
  trainer: z.string(),
  version: z.int(),
});

export type WeightsPublished = z.infer<typeof weightsPublishedSchema>;

export const stepOpenedSchema = z.object({
  type: z.literal('step-opened'),
  trainer: z.string(),
  step: z.int().min(0),
  groups: z.int().min(1).max(100_000),
  groupSize: z.int().min(1).max(10_000),
});

export type StepOpened = z.infer<typeof stepOpenedSchema>;

/** Binds a sample to a slot. `attempt` is the number of times that the slot has been released. */
export const sampleBoundSchema = z.object({
  type: z.literal('sample-bound'),
  trainer: z.string(),
  step: z.int(),
  slot: z.int(),
  attempt: z.int(),
  digest: z.string(),
  holders: z.array(z.string()),
  segments: z.array(versionSegmentSchema).min(1),
});

export type SampleBound = z.infer<typeof sampleBoundSchema>;

/** Releases a slot whose sample became stale or lost all its copies before it was offered. */
export const slotReleasedSchema = z.object({
  type: z.literal('slot-released'),
  trainer: z.string(),
  step: z.int(),
  slot: z.int(),
  attempt: z.int(),
  reason: z.enum(['stale', 'lost']),
});

export type SlotReleased = z.infer<typeof slotReleasedSchema>;

/** Written before samples are sent to the trainer; these positions never change afterwards. */
export const samplesOfferedSchema = z.object({
  type: z.literal('samples-offered'),
  trainer: z.string(),
  step: z.int(),
  through: z.int(),
  /** Digests of the newly offered samples, so that a host with an old state offers no others. */
  digests: z.array(z.string()),
});

export type SamplesOffered = z.infer<typeof samplesOfferedSchema>;
