import { z } from 'zod';

/** An operator evacuates a failure domain, or takes that back. */
export const domainEvacuationSchema = z.object({
  type: z.literal('domain-evacuation'),
  operator: z.string(),
  failureDomain: z.string().min(1),
  isEvacuated: z.boolean(),
});

export type DomainEvacuation = z.infer<typeof domainEvacuationSchema>;
