import { z } from 'zod';

/** A lease as the log decided it. An empty holder means that it was released. */
export const leaseStateSchema = z.object({
  holder: z.string(),
  /** Offset of the claim that began this holder's tenure; grows with every new holder. */
  fence: z.int(),
  /** Offset of the record that moved it last; a claim has to name it. */
  offset: z.int(),
});

export type LeaseState = z.infer<typeof leaseStateSchema>;
export type LeaseStates = Record<string, LeaseState>;
