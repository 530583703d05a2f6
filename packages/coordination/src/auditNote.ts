import { z } from 'zod';

/** An action outside the log that the audit trail must list, such as an order to the platform. */
export const auditNoteSchema = z.object({
  type: z.literal('audit-note'),
  subject: z.string(),
  action: z.string(),
  basis: z.string(),
  outcome: z.string(),
});

export type AuditNote = z.infer<typeof auditNoteSchema>;
