import { z } from 'zod';

export const prioritySchema = z.enum(['interactive', 'background', 'training']);
export type Priority = z.infer<typeof prioritySchema>;

/** A generation request to a model engine. It never contains a caller's key. */
export const generationSchema = z.object({
  requestId: z.string(),
  customer: z.string(),
  service: z.string(),
  prompt: z.string(),
  /** Tokens that another engine has already generated; this engine continues after them. */
  prefix: z.array(z.string()),
  maxTokens: z.int(),
  priority: prioritySchema,
});

export type Generation = z.infer<typeof generationSchema>;

/** One token and the version of the weights that produced it. */
export const tokenEventSchema = z.object({
  requestId: z.string(),
  index: z.int(),
  text: z.string(),
  version: z.int(),
});

export type TokenEvent = z.infer<typeof tokenEventSchema>;

/** The end of a complete answer. `tokens` counts all tokens, including the prefix. */
export const endEventSchema = z.object({
  requestId: z.string(),
  tokens: z.int(),
  finishReason: z.enum(['stop', 'length']),
});

export type EndEvent = z.infer<typeof endEventSchema>;

export const generationEventSchema = z.union([endEventSchema, tokenEventSchema]);
