import { z } from 'zod';
import { nameSchema } from './names.js';

/** How a host that can reach neither the log nor any peer treats a customer's calls. */
export const cutOffPolicySchema = z.enum(['serve', 'refuse']);

export const customerSettingsSchema = z.strictObject({
  id: nameSchema,
  /** Weight in the fair queue, relative to other customers. */
  share: z.number().min(0.1).max(1000).default(1),
  /** Maximum number of concurrent requests over all hosts. */
  maxInFlight: z.int().min(1).max(100_000).default(64),
  /** Maximum number of queued requests on one host. */
  maxQueued: z.int().min(1).max(100_000).default(256),
  whenCutOff: cutOffPolicySchema.default('serve'),
});

export type CustomerSettings = z.infer<typeof customerSettingsSchema>;
