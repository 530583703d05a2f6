import { z } from 'zod';
import { nameSchema, pathSchema } from './names.js';

/**
 * An operator's change of one or more subtrees, taken whole or not at all. The subtrees' contents
 * are checked by the fold, so that every reader refuses an invalid one with the same reason.
 */
export const settingsChangeSchema = z.strictObject({
  operator: nameSchema,
  subtrees: z
    .array(z.strictObject({ path: pathSchema, basedOn: z.int(), subtree: z.unknown() }))
    .min(1),
});

export type SettingsChange = z.infer<typeof settingsChangeSchema>;
