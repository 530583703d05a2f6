import type { IncomingMessage } from 'node:http';
import { Err, Ok } from './outcome.js';
import type { Result } from './outcome.js';

/** Why a request's body could not be taken. */
export type BodyFault = 'too-large' | 'too-slow' | 'not-json' | 'aborted';

const readChunks = async (request: IncomingMessage, limitBytes: number): Promise<Buffer | null> => {
  const chunks: Buffer[] = [];
  let size = 0;
  for await (const chunk of request) {
    size += (chunk as Buffer).length;
    if (size > limitBytes) return null;
    chunks.push(chunk as Buffer);
  }
  return Buffer.concat(chunks);
};

/**
 * Reads a whole body within a size and a time. A sender that dribbles its bytes would otherwise
 * hold a connection and its memory for ever.
 */
export const readBody = async (
  request: IncomingMessage,
  limitBytes: number,
  timeoutMs: number,
): Promise<Result<Buffer, BodyFault>> => {
  const timer = setTimeout(() => request.destroy(new Error('too-slow')), timeoutMs);
  try {
    const body = await readChunks(request, limitBytes);
    return body ? Ok(body) : Err('too-large' as const);
  } catch (error) {
    return Err((error as Error).message === 'too-slow' ? 'too-slow' : 'aborted');
  } finally {
    clearTimeout(timer);
  }
};

/** Parses JSON text as a value of unknown shape. */
export const parseJson = (text: string): Result<unknown, 'not-json'> => {
  try {
    return Ok(JSON.parse(text) as unknown);
  } catch {
    return Err('not-json');
  }
};
