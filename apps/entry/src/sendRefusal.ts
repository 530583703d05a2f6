import type { ServerResponse } from 'node:http';
import { sendJson } from '@cyclamengate/common/handler';
import { statusOf } from '@cyclamengate/routing/refusal';
import type { Refusal } from '@cyclamengate/routing/refusal';

const secondsUntil = (retryAt: number, now: number): number =>
  Math.max(1, Math.ceil((retryAt - now) / 1_000));

/** A refusal as callers read it. */
export const refusalBody = ({ code, outcome, message }: Refusal, requestId: string) => ({
  error: { code, outcome, message, request_id: requestId },
});

/** Answers with a refusal, at once, and says when to come back. */
export const sendRefusal = (
  response: ServerResponse,
  refusal: Refusal,
  requestId: string,
  now: number,
): void =>
  sendJson(response, statusOf(refusal), refusalBody(refusal, requestId), {
    'x-request-id': requestId,
    'x-outcome': refusal.outcome,
    // The rest of a body that was not read must not be taken for the next request.
    ...(refusal.code === 'too-large' || refusal.code === 'too-slow' ? { connection: 'close' } : {}),
    ...(refusal.retryAt === null
      ? {}
      : { 'retry-after': String(secondsUntil(refusal.retryAt, now)) }),
  });
