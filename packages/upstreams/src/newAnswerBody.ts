import type { SocketGate } from './newSocketGate.js';

/** Bytes that wait for their reader before the upstream has to wait. */
const MAX_WAITING_BYTES = 65_536;

export interface AnswerBodyOptions {
  gate: SocketGate;
  /** Called when the reader leaves before the end. */
  abandon: () => void;
}

/**
 * The body of an answer as it arrives. Holds what its reader has not asked for yet, no more than one
 * read above the limit.
 */
const newAnswerBody = ({ gate, abandon }: AnswerBodyOptions) => {
  const waiting: Buffer[] = [];
  let waitingBytes = 0;
  let end: { error: Error | null } | null = null;
  let wake: () => void = () => {};

  const nextChange = (): Promise<void> =>
    new Promise((resolve) => {
      wake = resolve;
    });

  const take = (): Buffer | undefined => {
    const chunk = waiting.shift();
    waitingBytes -= chunk?.length ?? 0;
    if (waitingBytes <= MAX_WAITING_BYTES / 2) gate.open();
    return chunk;
  };

  const iterator: AsyncIterableIterator<Buffer> = {
    next: async () => {
      while (waiting.length === 0 && end === null) await nextChange();
      const value = take();
      if (value !== undefined) return { value, done: false };
      if (end?.error) throw end.error;
      return { value: undefined, done: true };
    },
    return: async () => {
      if (end === null || waiting.length > 0) abandon();
      waiting.length = 0;
      end ??= { error: null };
      return { value: undefined, done: true };
    },
    [Symbol.asyncIterator]: () => iterator,
  };

  return {
    body: iterator as AsyncIterable<Buffer>,
    add: (chunk: Buffer): void => {
      if (end !== null) return;
      waiting.push(chunk);
      waitingBytes += chunk.length;
      if (waitingBytes > MAX_WAITING_BYTES) gate.close();
      wake();
    },
    /** @param error why the body is not complete; null if it is */
    finish: (error: Error | null): void => {
      end ??= { error };
      wake();
    },
  };
};

export default newAnswerBody;
