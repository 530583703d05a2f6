import { Err, Ok } from '@cyclamengate/common/outcome';
import type { Result } from '@cyclamengate/common/outcome';
import { restore } from '@cyclamengate/common/restore';
import { Agent, request } from 'undici';
import type { ZodType } from 'zod';
import type { PlatformFault } from './platformFault.js';

const CONNECT_TIMEOUT_MS = 1_000;
const NOT_SENT_CODES = new Set([
  'ECONNREFUSED',
  'UND_ERR_CONNECT_TIMEOUT',
  'ENETUNREACH',
  'EHOSTUNREACH',
]);

const faultOf = (error: unknown): PlatformFault => {
  const { code } = error as { code?: string };
  return code && NOT_SENT_CODES.has(code) ? 'not-sent' : 'unknown';
};

/**
 * JSON calls to one service, each under a timeout.
 *
 * Something between the two ends can lose track of an open connection: it then takes bytes and
 * never answers, while new connections work. A call that runs into its timeout aborts its request,
 * which destroys the socket, so the next call opens a fresh one.
 */
const newHttpCaller = (baseUrl: string, timeoutMs: number) => {
  const agent = new Agent({
    connect: { timeout: CONNECT_TIMEOUT_MS },
    pipelining: 1,
    headersTimeout: timeoutMs,
    bodyTimeout: timeoutMs,
  });

  const call = async <T>(
    method: 'GET' | 'POST',
    path: string,
    schema: ZodType<T>,
    body?: unknown,
    signal?: AbortSignal,
  ): Promise<Result<T, PlatformFault>> => {
    const timeout = AbortSignal.timeout(timeoutMs);
    try {
      const answer = await request(`${baseUrl}${path}`, {
        method,
        dispatcher: agent,
        signal: signal ? AbortSignal.any([signal, timeout]) : timeout,
        headers: body === undefined ? {} : { 'content-type': 'application/json' },
        body: body === undefined ? null : JSON.stringify(body),
      });
      const raw = (await answer.body.json()) as unknown;
      if (answer.statusCode >= 500) return Err('unknown');
      if (answer.statusCode >= 400) return Err('refused');
      const restored = restore(schema, raw);
      return restored.ok ? Ok(restored.val) : Err('unknown');
    } catch (error) {
      return Err(faultOf(error));
    }
  };

  return { call, close: (): Promise<void> => agent.destroy() };
};

export type HttpCaller = ReturnType<typeof newHttpCaller>;

export default newHttpCaller;
