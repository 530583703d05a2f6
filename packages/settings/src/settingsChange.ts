import { z } from 'zod';
import { nameSchema, pathSchema } from './names.js';

/**
 * An operator's change of one or more subtrees, applied atomically. The fold validates the contents
 * of the subtrees, so that every reader rejects an invalid change with the same reason.
 */
export const settingsChangeSchema = z.strictObject({
  operator: nameSchema,
  subtrees: z
    .array(z.strictObject({ path: pathSchema, basedOn: z.int(), subtree: z.unknown() }))
    .min(1),
});

export type SettingsChange = z.infer<typeof settingsChangeSchema>;
