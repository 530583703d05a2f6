import { z } from 'zod';

export const memberRoleSchema = z.enum(['entry', 'rollout', 'control']);

/** The state that a process publishes to its peers. */
export const memberSchema = z.object({
  id: z.string(),
  /** Unique to this run of the process. */
  incarnation: z.string(),
  role: memberRoleSchema,
  failureDomain: z.string(),
  peerUrl: z.string(),
  /** URL for callers or trainers. */
  url: z.string(),
  /** Increases with every heartbeat. */
  heartbeat: z.int(),
  /** The log offset up to which the process has applied records. */
  offset: z.int(),
  isLeaving: z.boolean(),
  /** Number of running requests by customer. */
  inFlight: z.record(z.string(), z.int()),
  /** Number of running and queued requests that need a slot, by service. */
  demand: z.record(z.string(), z.int()),
});

export type Member = z.infer<typeof memberSchema>;
export type MemberRole = z.infer<typeof memberRoleSchema>;
