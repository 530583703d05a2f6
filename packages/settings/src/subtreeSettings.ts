import { z } from 'zod';
import { customerSettingsSchema } from './customerSettings.js';
import { keySettingsSchema } from './keySettings.js';
import { operatorSettingsSchema } from './operatorSettings.js';
import { serviceSettingsSchema } from './serviceSettings.js';
import { trainerSettingsSchema } from './trainerSettings.js';

/** The settings at one path of the settings tree. */
export const subtreeSettingsSchema = z.strictObject({
  operators: z.array(operatorSettingsSchema).default([]),
  customers: z.array(customerSettingsSchema).default([]),
  keys: z.array(keySettingsSchema).default([]),
  services: z.array(serviceSettingsSchema).default([]),
  trainers: z.array(trainerSettingsSchema).default([]),
});

export type SubtreeSettings = z.infer<typeof subtreeSettingsSchema>;
