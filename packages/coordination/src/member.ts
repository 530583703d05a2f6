import { z } from 'zod';

export const memberRoleSchema = z.enum(['entry', 'rollout', 'control']);

/** What one process tells the others about itself. */
export const memberSchema = z.object({
  id: z.string(),
  /** Unique to this run of the process. */
  incarnation: z.string(),
  role: memberRoleSchema,
  failureDomain: z.string(),
  peerUrl: z.string(),
  /** Where callers or trainers reach it. */
  url: z.string(),
  /** Grows with every beat. */
  heartbeat: z.int(),
  /** The log offset in force on it. */
  offset: z.int(),
  isLeaving: z.boolean(),
  /** Running requests by customer. */
  inFlight: z.record(z.string(), z.int()),
  /** Requests that want a slot, running and waiting, by service. */
  demand: z.record(z.string(), z.int()),
});

export type Member = z.infer<typeof memberSchema>;
export type MemberRole = z.infer<typeof memberRoleSchema>;
