import type { ServerResponse } from 'node:http';
import { sendJson } from '@cyclamengate/common/handler';
import sendLastJson from '@cyclamengate/common/sendLastJson';
import { statusOf } from '@cyclamengate/routing/refusal';
import type { Refusal } from '@cyclamengate/routing/refusal';

const secondsUntil = (retryAt: number, now: number): number =>
  Math.max(1, Math.ceil((retryAt - now) / 1_000));

/** A refusal as callers read it. */
export const refusalBody = ({ code, outcome, message }: Refusal, requestId: string) => ({
  error: { code, outcome, message, request_id: requestId },
});

/** The rest of a body that was not read must not be taken for the next request. */
const isBodyUnread = ({ code }: Refusal): boolean => code === 'too-large' || code === 'too-slow';

/** Answers with a refusal, at once, and says when to come back. */
export const sendRefusal = (
  response: ServerResponse,
  refusal: Refusal,
  requestId: string,
  now: number,
): void => {
  const send = isBodyUnread(refusal) ? sendLastJson : sendJson;
  send(response, statusOf(refusal), refusalBody(refusal, requestId), {
    'x-request-id': requestId,
    'x-outcome': refusal.outcome,
    ...(refusal.retryAt === null
      ? {}
      : { 'retry-after': String(secondsUntil(refusal.retryAt, now)) }),
  });
};
