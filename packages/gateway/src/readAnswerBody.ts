import type { MemoryLease } from '@cyclamengate/common/newMemoryBudget';
import TruncatedAnswer from '@cyclamengate/engines/TruncatedAnswer';
import type { UpstreamAnswer } from '@cyclamengate/engines/UpstreamClient';

/** The chunks of a body are held beside the bytes that they are joined to. */
const COPIES_WHILE_JOINING = 2;

export type AnswerBody =
  | { type: 'complete'; bytes: Buffer }
  | { type: 'truncated'; reason: string }
  /** The memory budget has no room for it; the rest was not read. */
  | { type: 'unheld' };

/** Reads an answer's body to its end. */
export const readAnswerBody = async (
  answer: UpstreamAnswer,
  lease: Pick<MemoryLease, 'grow'>,
): Promise<AnswerBody> => {
  const chunks: Buffer[] = [];
  try {
    for await (const chunk of answer.body) {
      if (!lease.grow(COPIES_WHILE_JOINING * chunk.length)) return { type: 'unheld' };
      chunks.push(chunk);
    }
  } catch (error) {
    if (error instanceof TruncatedAnswer) return { type: 'truncated', reason: error.message };
    throw error;
  }
  return { type: 'complete', bytes: Buffer.concat(chunks) };
};

/** Reads an answer's body to its end without holding it, so that its connection can be used again. */
export const discardAnswerBody = async (answer: UpstreamAnswer): Promise<void> => {
  try {
    const iterator = answer.body[Symbol.asyncIterator]();
    while (!(await iterator.next()).done);
  } catch (error) {
    if (!(error instanceof TruncatedAnswer)) throw error;
  }
};
