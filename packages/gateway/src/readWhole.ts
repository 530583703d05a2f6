import BrokenAnswer from '@cyclamengate/engines/BrokenAnswer';
import type { UpstreamAnswer } from '@cyclamengate/engines/UpstreamClient';

/** An answer's whole body, or null when it broke off. */
const readWhole = async (answer: UpstreamAnswer): Promise<Buffer | null> => {
  const chunks: Buffer[] = [];
  try {
    for await (const chunk of answer.body) chunks.push(chunk);
  } catch (error) {
    if (error instanceof BrokenAnswer) return null;
    throw error;
  }
  return Buffer.concat(chunks);
};

export default readWhole;
