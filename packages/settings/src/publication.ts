import { z } from 'zod';
import { pathSchema } from './names.js';
import { subtreeSettingsSchema } from './subtreeSettings.js';

/** A settings file published by an operator: subtrees by path, with `null` to remove a subtree. */
export const publicationSchema = z.strictObject({
  subtrees: z.record(pathSchema, subtreeSettingsSchema.nullable()),
});

export type Publication = z.infer<typeof publicationSchema>;
