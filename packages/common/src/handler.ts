import type { IncomingMessage, ServerResponse } from 'node:http';

/** A request as polka passes it to a handler. */
export type HandlerRequest = IncomingMessage & {
  path: string;
  originalUrl: string;
  params: Record<string, string | string[]>;
  query: unknown;
};

export type AsyncHandler = (request: HandlerRequest, response: ServerResponse) => Promise<void>;

/** Writes the head of an answer with a JSON body of this text. */
export const writeJsonHead = (
  response: ServerResponse,
  status: number,
  text: string,
  headers: Record<string, string>,
): void => {
  response.writeHead(status, {
    'content-type': 'application/json',
    'content-length': String(Buffer.byteLength(text)),
    ...headers,
  });
};

/** Answers with a JSON body; does nothing when the response has already started. */
export const sendJson = (
  response: ServerResponse,
  status: number,
  body: unknown,
  headers: Record<string, string> = {},
): void => {
  if (response.headersSent || response.destroyed) return;
  const text = JSON.stringify(body);
  writeJsonHead(response, status, text, headers);
  response.end(text);
};

/**
 * Wraps an async handler for polka, which does not catch rejections: the caller would wait without
 * an answer. A rejection, and what the handler throws before its first wait, is reported to `onError` and
 * answered with status 500.
 */
export const handler =
  (onError: (error: unknown) => void, handle: AsyncHandler) =>
  (request: HandlerRequest, response: ServerResponse): void => {
    const run = async (): Promise<void> => handle(request, response);
    run().catch((error: unknown) => {
      onError(error);
      sendJson(response, 500, { error: { code: 'internal', outcome: 'unknown' } });
      if (!response.writableEnded) response.destroy();
    });
  };
