import type { IncomingMessage } from 'node:http';
import newBodyBuffer from './newBodyBuffer.js';
import { unlimitedLease } from './newMemoryBudget.js';
import type { MemoryLease } from './newMemoryBudget.js';
import { Err, Ok } from './outcome.js';
import type { Result } from './outcome.js';

/** Why a request's body could not be read. */
export type BodyFault = 'too-large' | 'too-slow' | 'not-json' | 'aborted' | 'no-memory';

/** The size of the body that a request announces; null if it is sent in chunks. */
export const announcedBytes = ({ headers }: IncomingMessage): number | null =>
  headers['content-length'] === undefined ? null : Number(headers['content-length']);

/**
 * Reads a complete request body within limits of size and time. Without them, a sender that
 * trickles its bytes would occupy a connection and its memory indefinitely. The connection stays
 * open so that a refusal can be sent.
 * @param lease counts the body; its owner releases it
 */
export const readBody = (
  request: IncomingMessage,
  limitBytes: number,
  timeoutMs: number,
  lease: MemoryLease = unlimitedLease,
): Promise<Result<Buffer, BodyFault>> =>
  new Promise((resolve) => {
    const expectedBytes = announcedBytes(request) ?? 0;
    let timer: NodeJS.Timeout | undefined;
    const finish = (result: Result<Buffer, BodyFault>): void => {
      clearTimeout(timer);
      request.removeAllListeners('data');
      // The rest of the body is read and discarded, so that the refusal reaches the sender.
      request.resume();
      resolve(result);
    };
    if (expectedBytes > limitBytes) {
      finish(Err('too-large'));
      return;
    }
    if (!lease.resize(expectedBytes)) {
      finish(Err('no-memory'));
      return;
    }
    const body = newBodyBuffer(lease, expectedBytes);
    let size = 0;
    timer = setTimeout(() => finish(Err('too-slow')), timeoutMs);
    request.on('data', (chunk: Buffer) => {
      size += chunk.length;
      if (size > limitBytes) finish(Err('too-large'));
      else if (!body.append(chunk)) finish(Err('no-memory'));
    });
    request.once('end', () => finish(Ok(body.bytes())));
    request.once('error', () => finish(Err('aborted')));
    request.once('close', () => finish(Err('aborted')));
  });
