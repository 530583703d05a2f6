import type { ServerResponse } from 'node:http';
import sendEarlyJson from '@cyclamengate/common/sendEarlyJson';
import { getHttpStatus } from '@cyclamengate/routing/refusal';
import type { Refusal } from '@cyclamengate/routing/refusal';

const secondsUntil = (retryAt: number, now: number): number =>
  Math.max(1, Math.ceil((retryAt - now) / 1_000));

/** Builds the response body of a refusal. */
export const newRefusalBody = ({ code, outcome, message }: Refusal, requestId: string) => ({
  error: { code, outcome, message, request_id: requestId },
});

/**
 * Whether part of the request body is still unread. The connection is closed in this case, since the
 * remaining bytes would be parsed as the next request.
 */
const isBodyUnread = ({ code }: Refusal): boolean => code === 'too-large' || code === 'too-slow';

/** Sends a refusal immediately, with a `retry-after` header if it has a time to retry at. */
export const sendRefusal = (
  response: ServerResponse,
  refusal: Refusal,
  requestId: string,
  now: number,
): void => {
  if (isBodyUnread(refusal) && !response.headersSent) response.setHeader('connection', 'close');
  sendEarlyJson(response, getHttpStatus(refusal), newRefusalBody(refusal, requestId), {
    'x-request-id': requestId,
    'x-outcome': refusal.outcome,
    ...(refusal.retryAt === null
      ? {}
      : { 'retry-after': String(secondsUntil(refusal.retryAt, now)) }),
  });
};
