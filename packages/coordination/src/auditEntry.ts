import { z } from 'zod';

/** One line of the audit trail: who did what when, on what basis, and what came of it. */
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
