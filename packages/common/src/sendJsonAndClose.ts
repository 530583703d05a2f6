import type { ServerResponse } from 'node:http';

/** How long the sender of a refused body may keep sending before its connection is closed. */
const LINGER_TIMEOUT_MS = 2_000;

/**
 * Sends a JSON answer to a request whose body is not read further, then closes the connection.
 * Closing with unread bytes would reset the connection, and a sender that is still writing would
 * get EPIPE instead of the answer, so the close waits until the sender has finished. The request's
 * stream must be in flowing mode.
 */
const sendJsonAndClose = (
  response: ServerResponse,
  status: number,
  body: unknown,
  headers: Record<string, string> = {},
): void => {
  if (response.headersSent || response.destroyed) return;
  const text = JSON.stringify(body);
  response.writeHead(status, {
    'content-type': 'application/json',
    'content-length': String(Buffer.byteLength(text)),
    ...headers,
    connection: 'close',
  });
  response.write(text);
  const { req: request } = response;
  if (request.complete) {
    response.end();
    return;
  }
  const timer = setTimeout(() => response.end(), LINGER_TIMEOUT_MS);
  request.once('close', () => {
    clearTimeout(timer);
    response.end();
  });
};

export default sendJsonAndClose;
