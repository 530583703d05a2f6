import { z } from 'zod';
import { nameSchema, pathSchema } from './names.js';

/** An operator and the subtrees that this operator may change. */
export const operatorSettingsSchema = z.strictObject({
  id: nameSchema,
  paths: z.array(pathSchema).min(1),
});

export type OperatorSettings = z.infer<typeof operatorSettingsSchema>;
