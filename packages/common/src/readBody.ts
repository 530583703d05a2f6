import type { IncomingMessage } from 'node:http';
import { Err, Ok } from './outcome.js';
import type { Result } from './outcome.js';

/** Why a request's body could not be read. */
export type BodyFault = 'too-large' | 'too-slow' | 'not-json' | 'aborted';

/**
 * Reads a complete request body within limits of size and time. Without them, a sender that
 * trickles its bytes would occupy a connection and its memory indefinitely. The connection stays
 * open so that a refusal can be sent.
 */
export const readBody = (
  request: IncomingMessage,
  limitBytes: number,
  timeoutMs: number,
): Promise<Result<Buffer, BodyFault>> =>
  new Promise((resolve) => {
    const chunks: Buffer[] = [];
    let size = 0;
    let timer: NodeJS.Timeout | undefined;
    const finish = (result: Result<Buffer, BodyFault>): void => {
      clearTimeout(timer);
      request.removeAllListeners('data');
      // The rest of the body is read and discarded, so that the refusal reaches the sender.
      request.resume();
      resolve(result);
    };
    timer = setTimeout(() => finish(Err('too-slow')), timeoutMs);
    request.on('data', (chunk: Buffer) => {
      size += chunk.length;
      chunks.push(chunk);
      if (size > limitBytes) finish(Err('too-large'));
    });
    request.once('end', () => finish(Ok(Buffer.concat(chunks))));
    request.once('error', () => finish(Err('aborted')));
    request.once('close', () => finish(Err('aborted')));
  });

/** Parses JSON text as a value of unknown shape. */
export const parseJson = (text: string): Result<unknown, 'not-json'> => {
  try {
    return Ok(JSON.parse(text) as unknown);
  } catch {
    return Err('not-json');
  }
};
