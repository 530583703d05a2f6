import { z } from 'zod';

/** An entry of the audit trail: an action with its author, time, basis and outcome. */
export const auditEntrySchema = z.object({
  offset: z.int(),
  at: z.number(),
  writer: z.string(),
  action: z.string(),
  subject: z.string(),
  basis: z.string(),
  accepted: z.boolean(),
  reason: z.string(),
});

export type AuditEntry = z.infer<typeof auditEntrySchema>;
