import { settingsTreeSchema } from '@cyclamengate/settings/settingsTree';
import { z } from 'zod';
import { callStateSchema } from './callState.js';
import { leaseStateSchema } from './leaseState.js';
import { trainerStateSchema } from './trainerState.js';
import { usageStateSchema } from './usageState.js';

/** The state that all readers derive from the same records. Plain data, usable as a checkpoint. */
export const systemStateSchema = z.object({
  /** Offset of the last applied record; -1 before the first. */
  offset: z.int(),
  /** Highest timestamp that the log has given a record. */
  time: z.number(),
  recentIds: z.array(z.string()),
  settings: settingsTreeSchema,
  leases: z.record(z.string(), leaseStateSchema),
  usage: usageStateSchema,
  calls: z.record(z.string(), callStateSchema),
  trainers: z.record(z.string(), trainerStateSchema),
  /** Failure domains whose upstreams get nothing; a checkpoint of an older version has none. */
  evacuatedDomains: z.array(z.string()).default([]),
});

export type SystemState = z.infer<typeof systemStateSchema>;

/** The state before any record. */
export const newEmptyState = (): SystemState => ({
  offset: -1,
  time: 0,
  recentIds: [],
  settings: {},
  leases: {},
  usage: { hosts: {}, open: {}, late: {}, closed: {}, closedThrough: -1 },
  calls: {},
  trainers: {},
  evacuatedDomains: [],
});
