import type { IncomingMessage, ServerResponse } from 'node:http';

/** A request as polka hands it on. */
export type HandlerRequest = IncomingMessage & {
  path: string;
  originalUrl: string;
  params: Record<string, string | string[]>;
  query: unknown;
};

export type AsyncHandler = (request: HandlerRequest, response: ServerResponse) => Promise<void>;

/** Answers with a JSON body; does nothing when an answer has begun already. */
export const sendJson = (
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
  });
  response.end(text);
};

/**
 * polka leaves a rejected handler unhandled, which would leave the caller waiting and stop the
 * process. Here it becomes an answer and a report.
 */
export const handler =
  (onFault: (error: unknown) => void, handle: AsyncHandler) =>
  (request: HandlerRequest, response: ServerResponse): void => {
    handle(request, response).catch((error: unknown) => {
      onFault(error);
      sendJson(response, 500, { error: { code: 'internal', outcome: 'unknown' } });
      if (!response.writableEnded) response.destroy();
    });
  };
