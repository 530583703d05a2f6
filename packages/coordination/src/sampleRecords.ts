import { z } from 'zod';

/** Which weights produced a stretch of a sample's tokens. */
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

/** Binds a slot to one sample. `attempt` counts how often the slot has been released. */
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

/** Frees a slot whose sample aged out or lost all its copies before it was offered. */
export const slotReleasedSchema = z.object({
  type: z.literal('slot-released'),
  trainer: z.string(),
  step: z.int(),
  slot: z.int(),
  attempt: z.int(),
  reason: z.enum(['stale', 'lost']),
});

export type SlotReleased = z.infer<typeof slotReleasedSchema>;

/** Written before samples leave for the trainer: from here on these positions never change. */
export const samplesOfferedSchema = z.object({
  type: z.literal('samples-offered'),
  trainer: z.string(),
  step: z.int(),
  through: z.int(),
  /** Digests of the newly offered positions, so that a reader of old state offers nothing else. */
  digests: z.array(z.string()),
});

export type SamplesOffered = z.infer<typeof samplesOfferedSchema>;
