import { z } from 'zod';
import { nameSchema } from './names.js';

/** What a host that is cut off from the log and from every peer does with a customer's calls. */
export const cutOffPolicySchema = z.enum(['serve', 'refuse']);

export const customerSettingsSchema = z.strictObject({
  id: nameSchema,
  /** Weight in the fair queue, against the other customers'. */
  share: z.number().min(0.1).max(1000).default(1),
  /** Requests running at once, over all hosts. */
  maxInFlight: z.int().min(1).max(100_000).default(64),
  /** Requests waiting at once on one host. */
  maxQueued: z.int().min(1).max(100_000).default(256),
  whenCutOff: cutOffPolicySchema.default('serve'),
});

export type CustomerSettings = z.infer<typeof customerSettingsSchema>;
