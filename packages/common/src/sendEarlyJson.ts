import type { ServerResponse } from 'node:http';
import { sendJson, writeJsonHead } from './handler.js';

/** How long the sender of an unread body may keep sending before its connection is closed. */
const LINGER_TIMEOUT_MS = 2_000;

/** Sends a JSON answer, and closes the connection once its sender has finished. */
const sendAndLinger = (
  response: ServerResponse,
  status: number,
  body: unknown,
  headers: Record<string, string>,
): void => {
  const text = JSON.stringify(body);
  writeJsonHead(response, status, text, { ...headers, connection: 'close' });
  response.write(text);
  const timer = setTimeout(() => response.end(), LINGER_TIMEOUT_MS);
  response.req.once('close', () => {
    clearTimeout(timer);
    response.end();
  });
};

/**
 * Sends a JSON answer, perhaps before the body of its request has arrived; what follows is read and
 * discarded. If the connection is closed after the answer, because this host stops or the sender wants
 * it, the close waits until the sender has finished: closing with unread bytes would reset the
 * connection, and the sender would get the reset instead of the answer.
 */
const sendEarlyJson = (
  response: ServerResponse,
  status: number,
  body: unknown,
  headers: Record<string, string> = {},
): void => {
  if (response.headersSent || response.destroyed) return;
  const { req: request } = response;
  const isClosing = !response.shouldKeepAlive || response.getHeader('connection') === 'close';
  if (isClosing && !request.complete) sendAndLinger(response, status, body, headers);
  else sendJson(response, status, body, headers);
  request.resume();
};

export default sendEarlyJson;
