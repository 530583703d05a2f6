import TruncatedAnswer from '@cyclamengate/engines/TruncatedAnswer';
import type { UpstreamAnswer } from '@cyclamengate/engines/UpstreamClient';

/** Reads an answer's complete body; null if the body is truncated. */
const readAnswerBody = async (answer: UpstreamAnswer): Promise<Buffer | null> => {
  const chunks: Buffer[] = [];
  try {
    for await (const chunk of answer.body) chunks.push(chunk);
  } catch (error) {
    if (error instanceof TruncatedAnswer) return null;
    throw error;
  }
  return Buffer.concat(chunks);
};

export default readAnswerBody;
