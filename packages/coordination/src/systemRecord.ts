import { settingsChangeSchema } from '@cyclamengate/settings/settingsChange';
import { z } from 'zod';
import { auditNoteSchema } from './auditNote.js';
import { callClaimSchema, callOutcomeSchema } from './callRecords.js';
import { checkpointRecordSchema } from './checkpointRecord.js';
import { domainEvacuationSchema } from './evacuationRecord.js';
import { leaseClaimSchema, leaseReleaseSchema } from './leaseRecords.js';
import {
  sampleBoundSchema,
  samplesOfferedSchema,
  slotReleasedSchema,
  stepOpenedSchema,
  weightsPublishedSchema,
} from './sampleRecords.js';
import { usageCloseSchema, usageDeltaSchema, usageReportedSchema } from './usageRecords.js';

/** All record types that the system writes to the log. */
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
  domainEvacuationSchema,
]);

export type SystemRecord = z.infer<typeof systemRecordSchema>;

/** Version of the envelope format. Readers skip and count records of a newer version. */
export const RECORD_VERSION = 1;

export const envelopeSchema = z.object({
  version: z.int(),
  id: z.string(),
  writer: z.string(),
  record: z.unknown(),
});

export type Envelope = z.infer<typeof envelopeSchema>;
