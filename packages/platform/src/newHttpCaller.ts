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

const serializeBody = (body: unknown): string | null =>
  body === undefined ? null : JSON.stringify(body);

const toPlatformFault = (error: unknown): PlatformFault => {
  const { code } = error as { code?: string };
  return code && NOT_SENT_CODES.has(code) ? 'not-sent' : 'unknown';
};

/**
 * JSON calls to one service, each with a timeout.
 *
 * A middlebox can lose the state of an open connection, which then accepts bytes but never answers,
 * while new connections work. A call that times out aborts its request, which destroys the socket,
 * so that the next call opens a new connection.
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
      return Err(toPlatformFault(error));
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
      serializeBody(body),
      signal ? AbortSignal.any([signal, timeout]) : timeout,
    );
  };

  /**
   * Sends an order that only the holder of a lease may send.
   *
   * Between the decision to send and the actual write, the process can be suspended or opening its
   * connection can be slow. Bytes in the socket's send buffer can arrive after a successor's order.
   * So the guard is checked again when the body is written, since an order without a body has no
   * effect. On a timeout the connection is reset instead of closed, which discards unsent bytes.
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
    const guardedWrite = function* guardedBody(): Generator<string> {
      if (!isStillHeld()) throw new Error('the lease has ended');
      isWritten = true;
      yield JSON.stringify(body);
    };
    const answer = await send('POST', path, schema, Readable.from(guardedWrite()), timeout);
    return !answer.ok && !isWritten ? Err('not-sent') : answer;
  };

  return { call, order, close: (): Promise<void> => agent.destroy() };
};

export type HttpCaller = ReturnType<typeof newHttpCaller>;

export default newHttpCaller;
