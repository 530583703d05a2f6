import type { ServerResponse } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';
import { handler, sendJson } from '@cyclamengate/common/handler';
import type { HandlerRequest } from '@cyclamengate/common/handler';
import { LARGEST_BODY_BYTES } from '@cyclamengate/common/limits';
import { parseJson, readBody } from '@cyclamengate/common/readBody';
import { formatProblems, restore } from '@cyclamengate/common/restore';
import type { ZodType } from 'zod';
import type { FaultSwitches } from './faultSwitches.js';

const MOST_BODY_BYTES = LARGEST_BODY_BYTES * 16;
const BODY_TIMEOUT_MS = 10_000;

/** What a stand-in answers: a status and a JSON value. */
export interface StandinAnswer {
  status: number;
  body: unknown;
}

const reset = (request: HandlerRequest): void => {
  request.socket.resetAndDestroy();
};

/** Reads a JSON body of a certain shape; answers with 400 and returns null when it isn't one. */
export const readJson = async <T>(
  request: HandlerRequest,
  response: ServerResponse,
  schema: ZodType<T>,
): Promise<T | null> => {
  const body = await readBody(request, MOST_BODY_BYTES, BODY_TIMEOUT_MS);
  const raw = body.ok ? parseJson(body.val.toString()) : null;
  const restored = raw?.ok ? restore(schema, raw.val) : null;
  if (restored?.ok) return restored.val;
  sendJson(response, 400, { error: restored ? formatProblems(restored.val) : 'not JSON' });
  return null;
};

/** A route of a stand-in, with the faults that its target has switched on. */
export const faulty = (
  faults: FaultSwitches,
  target: string,
  answer: (request: HandlerRequest, response: ServerResponse) => Promise<StandinAnswer | null>,
) =>
  handler(
    (error) => process.stderr.write(`${target}: ${String(error)}\n`),
    async (request, response) => {
      if (faults.use(target, 'down')) {
        reset(request);
        return;
      }
      if (faults.use(target, 'silent')) return;
      const slow = faults.use(target, 'slow');
      if (slow) await sleep(slow.delayMs);
      const answered = await answer(request, response);
      if (!answered) return;
      if (request.method === 'POST' && faults.use(target, 'lose-answer')) {
        reset(request);
        return;
      }
      sendJson(response, answered.status, answered.body);
    },
  );
