import { z } from 'zod';

const MAX_PROMPT_CHARACTERS = 500_000;
const MAX_COMPLETION_TOKENS = 100_000;
const DEFAULT_COMPLETION_TOKENS = 16;

const messageSchema = z.object({ role: z.string(), content: z.string() });

/** The body of a completion or chat completion request; chat messages are joined to one prompt. */
export const completionRequestSchema = z
  .object({
    model: z.string(),
    prompt: z.string().max(MAX_PROMPT_CHARACTERS).optional(),
    messages: z.array(messageSchema).min(1).max(1_000).optional(),
    max_tokens: z.int().min(1).max(MAX_COMPLETION_TOKENS).default(DEFAULT_COMPLETION_TOKENS),
    stream: z.boolean().default(false),
  })
  .refine(({ prompt, messages }) => (prompt === undefined) !== (messages === undefined), {
    message: 'allowed: either prompt or messages',
  });

export type CompletionRequest = z.infer<typeof completionRequestSchema>;

/** Builds the prompt text that is sent to the engine. */
export const buildPrompt = ({ prompt, messages }: CompletionRequest): string =>
  prompt ?? (messages ?? []).map(({ role, content }) => `${role}: ${content}`).join('\n');
