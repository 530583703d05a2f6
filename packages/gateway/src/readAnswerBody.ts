import type { MemoryLease } from '@cyclamengate/common/newMemoryBudget';
import TruncatedAnswer from '@cyclamengate/engines/TruncatedAnswer';
import type { UpstreamAnswer } from '@cyclamengate/engines/UpstreamClient';

/** The chunks of a body are held beside the bytes that they are joined to. */
const COPIES_WHILE_JOINING = 2;
/** Up to this size an answer is held, so that the request can be repeated if it breaks off. */
const MAX_HELD_BYTES = 8_388_608;

export type AnswerBody =
  | {
      type: 'complete';
      bytes: Buffer;
      /** What follows the bytes, of an answer for which the memory budget has no room; null if none. */
      rest: AsyncIterable<Buffer> | null;
    }
  | { type: 'truncated'; reason: string };

/**
 * Reads an answer's body to its end, or as far as it may be held and the memory budget has room for it.
 *
 * The upstream has done its work, so an answer that can't be held is passed on as it arrives, at the
 * price that nothing can be repeated if it breaks off then.
 */
export const readAnswerBody = async (
  answer: UpstreamAnswer,
  lease: Pick<MemoryLease, 'grow'>,
): Promise<AnswerBody> => {
  const chunks: Buffer[] = [];
  let bytes = 0;
  const iterator = answer.body[Symbol.asyncIterator]();
  try {
    for (let next = await iterator.next(); !next.done; next = await iterator.next()) {
      chunks.push(next.value);
      bytes += next.value.length;
      if (bytes > MAX_HELD_BYTES || !lease.grow(COPIES_WHILE_JOINING * next.value.length)) {
        const rest = { [Symbol.asyncIterator]: () => iterator };
        return { type: 'complete', bytes: Buffer.concat(chunks), rest };
      }
    }
  } catch (error) {
    if (error instanceof TruncatedAnswer) return { type: 'truncated', reason: error.message };
    throw error;
  }
  return { type: 'complete', bytes: Buffer.concat(chunks), rest: null };
};

/** Reads an answer's body to its end without holding it, so that its connection can be used again. */
export const discardAnswerBody = async (answer: UpstreamAnswer): Promise<AnswerBody> => {
  const iterator = answer.body[Symbol.asyncIterator]();
  try {
    while (!(await iterator.next()).done);
  } catch (error) {
    if (error instanceof TruncatedAnswer) return { type: 'truncated', reason: error.message };
    throw error;
  }
  return { type: 'complete', bytes: Buffer.alloc(0), rest: null };
};
