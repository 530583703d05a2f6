import type { Socket } from 'node:net';
import { Readable } from 'node:stream';
import { Err, Ok } from '@cyclamengate/common/outcome';
import type { Result } from '@cyclamengate/common/outcome';
import { restore } from '@cyclamengate/common/restore';
import { Agent, buildConnector, request } from 'undici';
import type { ZodType } from 'zod';
import type { PlatformFault } from './platformFault.js';

const CONNECT_TIMEOUT_MS = 1_000;
const NOT_SENT_CODES = new Set([
  'ECONNREFUSED',
  'UND_ERR_CONNECT_TIMEOUT',
  'ENETUNREACH',
  'EHOSTUNREACH',
]);

const bodyOf = (body: unknown): string | null => (body === undefined ? null : JSON.stringify(body));

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
  const sockets = new Set<Socket>();
  const connect = buildConnector({ timeout: CONNECT_TIMEOUT_MS });
  const agent = new Agent({
    connect: (options, callback) =>
      connect(options, (...result) => {
        const [, socket] = result;
        if (socket) {
          sockets.add(socket);
          socket.once('close', () => sockets.delete(socket));
        }
        callback(...result);
      }),
    pipelining: 1,
    headersTimeout: timeoutMs,
    bodyTimeout: timeoutMs,
  });

  const send = async <T>(
    method: 'GET' | 'POST',
    path: string,
    schema: ZodType<T>,
    body: string | Readable | null,
    signal: AbortSignal,
  ): Promise<Result<T, PlatformFault>> => {
    try {
      const answer = await request(`${baseUrl}${path}`, {
        method,
        dispatcher: agent,
        signal,
        headers: body === null ? {} : { 'content-type': 'application/json' },
        body,
      });
      const raw = await answer.body.json();
      if (answer.statusCode >= 500) return Err('unknown');
      if (answer.statusCode >= 400) return Err('refused');
      const restored = restore(schema, raw);
      return restored.ok ? Ok(restored.val) : Err('unknown');
    } catch (error) {
      return Err(faultOf(error));
    }
  };

  const call = async <T>(
    method: 'GET' | 'POST',
    path: string,
    schema: ZodType<T>,
    body?: unknown,
    signal?: AbortSignal,
  ): Promise<Result<T, PlatformFault>> => {
    const timeout = AbortSignal.timeout(timeoutMs);
    return send(
      method,
      path,
      schema,
      bodyOf(body),
      signal ? AbortSignal.any([signal, timeout]) : timeout,
    );
  };

  /**
   * Gives an order that only the holder of a lease may give.
   *
   * The process can be frozen, or its connection can take its time, between the decision to send
   * and the sending; bytes already handed to the system can arrive after a successor's order. So the
   * guard is asked again at the moment in which the body is written: without a body the order has no
   * effect. And at a timeout the connection is reset, not closed, which drops what is still unsent.
   */
  const order = async <T>(
    path: string,
    schema: ZodType<T>,
    body: unknown,
    isStillHeld: () => boolean,
  ): Promise<Result<T, PlatformFault>> => {
    const timeout = AbortSignal.timeout(timeoutMs);
    timeout.addEventListener('abort', () => sockets.forEach((socket) => socket.resetAndDestroy()));
    let isWritten = false;
    const write = function* guardedBody(): Generator<string> {
      if (!isStillHeld()) throw new Error('the lease has ended');
      isWritten = true;
      yield JSON.stringify(body);
    };
    const answer = await send('POST', path, schema, Readable.from(write()), timeout);
    return !answer.ok && !isWritten ? Err('not-sent') : answer;
  };

  return { call, order, close: (): Promise<void> => agent.destroy() };
};

export type HttpCaller = ReturnType<typeof newHttpCaller>;

export default newHttpCaller;
