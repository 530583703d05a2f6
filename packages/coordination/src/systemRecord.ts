import { settingsChangeSchema } from '@cyclamengate/settings/settingsChange';
import { z } from 'zod';
import { auditNoteSchema } from './auditNote.js';
import { callClaimSchema, callOutcomeSchema } from './callRecords.js';
import { checkpointRecordSchema } from './checkpointRecord.js';
import { leaseClaimSchema, leaseReleaseSchema } from './leaseRecords.js';
import {
  sampleBoundSchema,
  samplesOfferedSchema,
  slotReleasedSchema,
  stepOpenedSchema,
  weightsPublishedSchema,
} from './sampleRecords.js';
import { usageCloseSchema, usageDeltaSchema, usageReportedSchema } from './usageRecords.js';

/** Everything that the system writes into the log. */
export const systemRecordSchema = z.discriminatedUnion('type', [
  settingsChangeSchema.extend({ type: z.literal('settings-change') }),
  leaseClaimSchema,
  leaseReleaseSchema,
  usageDeltaSchema,
  usageCloseSchema,
  usageReportedSchema,
  callClaimSchema,
  callOutcomeSchema,
  weightsPublishedSchema,
  stepOpenedSchema,
  sampleBoundSchema,
  slotReleasedSchema,
  samplesOfferedSchema,
  checkpointRecordSchema,
  auditNoteSchema,
]);

export type SystemRecord = z.infer<typeof systemRecordSchema>;

/** Format of the envelope. A reader skips a newer one, keeps its offset and counts it. */
export const RECORD_VERSION = 1;

export const envelopeSchema = z.object({
  version: z.int(),
  id: z.string(),
  writer: z.string(),
  record: z.unknown(),
});

export type Envelope = z.infer<typeof envelopeSchema>;
