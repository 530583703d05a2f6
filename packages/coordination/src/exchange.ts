import { z } from 'zod';
import { memberSchema } from './member.js';
import { suspectSchema } from './suspect.js';

/** What two peers tell each other in one exchange. Bounded in size, whatever the system's size. */
export const exchangeSchema = z.object({
  members: z.array(memberSchema),
  suspects: z.array(suspectSchema),
});

export type Exchange = z.infer<typeof exchangeSchema>;
