import { z } from 'zod';
import { digestSchema, nameSchema } from './names.js';

/** A caller's key. Only its digest is published and stored. */
export const keySettingsSchema = z.strictObject({
  id: nameSchema,
  customer: nameSchema,
  digest: digestSchema,
  withdrawn: z.boolean().default(false),
});

export type KeySettings = z.infer<typeof keySettingsSchema>;
