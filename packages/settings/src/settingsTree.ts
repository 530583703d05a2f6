import { z } from 'zod';
import { pathSchema } from './names.js';
import { subtreeSettingsSchema } from './subtreeSettings.js';

/**
 * All accepted settings. `revision` is the log offset of the change that put a subtree there; a
 * removed subtree keeps its revision, so that a late change based on an older one is still refused.
 */
export const settingsTreeSchema = z.record(
  pathSchema,
  z.strictObject({ revision: z.int(), subtree: subtreeSettingsSchema.nullable() }),
);

export type SettingsTree = z.infer<typeof settingsTreeSchema>;

/** The revision that a change of a path nobody has written yet is based on. */
export const NO_REVISION = -1;
