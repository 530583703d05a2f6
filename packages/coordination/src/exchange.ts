import { z } from 'zod';
import { memberSchema } from './member.js';
import { suspectSchema } from './suspect.js';

/** The message that two peers send each other. Its size is bounded, whatever the system's size. */
export const exchangeSchema = z.object({
  members: z.array(memberSchema),
  suspects: z.array(suspectSchema),
});

export type Exchange = z.infer<typeof exchangeSchema>;
