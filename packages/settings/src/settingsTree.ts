import { z } from 'zod';
import { pathSchema } from './names.js';
import { subtreeSettingsSchema } from './subtreeSettings.js';

/**
 * All accepted settings. `revision` is the log offset of the last change of a subtree. A removed
 * subtree keeps its revision, so that a late change based on an older revision is still rejected.
 */
export const settingsTreeSchema = z.record(
  pathSchema,
  z.strictObject({ revision: z.int(), subtree: subtreeSettingsSchema.nullable() }),
);

export type SettingsTree = z.infer<typeof settingsTreeSchema>;

/** The base revision of a change to a path that has never been written. */
export const NO_REVISION = -1;
