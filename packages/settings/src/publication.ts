import { z } from 'zod';
import { pathSchema } from './names.js';
import { subtreeSettingsSchema } from './subtreeSettings.js';

/** A file that an operator publishes: subtrees by path, `null` to remove one. */
export const publicationSchema = z.strictObject({
  subtrees: z.record(pathSchema, subtreeSettingsSchema.nullable()),
});

export type Publication = z.infer<typeof publicationSchema>;
