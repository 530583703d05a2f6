import { z } from 'zod';

const LONGEST_PROMPT_CHARACTERS = 500_000;
const MOST_TOKENS = 100_000;
const DEFAULT_TOKENS = 16;

const messageSchema = z.object({ role: z.string(), content: z.string() });

/** A completion as callers of model services know it; a chat's messages are joined to a prompt. */
export const completionRequestSchema = z
  .object({
    model: z.string(),
    prompt: z.string().max(LONGEST_PROMPT_CHARACTERS).optional(),
    messages: z.array(messageSchema).min(1).max(1_000).optional(),
    max_tokens: z.int().min(1).max(MOST_TOKENS).default(DEFAULT_TOKENS),
    stream: z.boolean().default(false),
  })
  .refine(({ prompt, messages }) => (prompt === undefined) !== (messages === undefined), {
    message: 'allowed: either prompt or messages',
  });

export type CompletionRequest = z.infer<typeof completionRequestSchema>;

/** The text that the engine gets. */
export const promptOf = ({ prompt, messages }: CompletionRequest): string =>
  prompt ?? (messages ?? []).map(({ role, content }) => `${role}: ${content}`).join('\n');
