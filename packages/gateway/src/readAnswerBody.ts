import TruncatedAnswer from '@cyclamengate/engines/TruncatedAnswer';
import type { UpstreamAnswer } from '@cyclamengate/engines/UpstreamClient';

export type AnswerBody =
  { type: 'complete'; bytes: Buffer } | { type: 'truncated'; reason: string };

/** Reads an answer's body to its end. */
const readAnswerBody = async (answer: UpstreamAnswer): Promise<AnswerBody> => {
  const chunks: Buffer[] = [];
  try {
    for await (const chunk of answer.body) chunks.push(chunk);
  } catch (error) {
    if (error instanceof TruncatedAnswer) return { type: 'truncated', reason: error.message };
    throw error;
  }
  return { type: 'complete', bytes: Buffer.concat(chunks) };
};

export default readAnswerBody;
