import type { ServerResponse } from 'node:http';

/** How long the sender of a refused body may go on until it is cut off, in ms. */
const LINGER_MS = 2_000;

/**
 * Answers with a JSON body a request whose own body is read no further, and closes its connection.
 * The close waits until the sender is done: with bytes unread it would reset the connection, and a
 * sender that is still writing would see EPIPE in place of the answer. The body has to be flowing.
 */
const sendLastJson = (
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
  const timer = setTimeout(() => response.end(), LINGER_MS);
  request.once('close', () => {
    clearTimeout(timer);
    response.end();
  });
};

export default sendLastJson;
