import type { ServerResponse } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';
import { handler, sendJson } from '@cyclamengate/common/handler';
import type { HandlerRequest } from '@cyclamengate/common/handler';
import { MAX_BODY_BYTES } from '@cyclamengate/common/limits';
import parseJson from '@cyclamengate/common/parseJson';
import { readBody } from '@cyclamengate/common/readBody';
import { formatProblems, restore } from '@cyclamengate/common/restore';
import type { ZodType } from 'zod';
import type { FaultSwitches } from './faultSwitches.js';

const MAX_STANDIN_BODY_BYTES = MAX_BODY_BYTES * 16;
const BODY_TIMEOUT_MS = 10_000;

/** A stand-in's response: a status and a JSON value. */
export interface StandinResponse {
  status: number;
  body: unknown;
}

const reset = (request: HandlerRequest): void => {
  request.socket.resetAndDestroy();
};

/** Reads a JSON body and parses it with a schema; responds with 400 and returns null if it is invalid. */
export const readJson = async <T>(
  request: HandlerRequest,
  response: ServerResponse,
  schema: ZodType<T>,
): Promise<T | null> => {
  const body = await readBody(request, MAX_STANDIN_BODY_BYTES, BODY_TIMEOUT_MS);
  const raw = body.ok ? parseJson(body.val.toString()) : null;
  const restored = raw?.ok ? restore(schema, raw.val) : null;
  if (restored?.ok) return restored.val;
  sendJson(response, 400, { error: restored ? formatProblems(restored.val) : 'not JSON' });
  return null;
};

/** Wraps the handler of a route to simulate the faults that are switched on for its target. */
export const withFaults = (
  faults: FaultSwitches,
  target: string,
  handle: (request: HandlerRequest, response: ServerResponse) => Promise<StandinResponse | null>,
) =>
  handler(
    (error) => process.stderr.write(`${target}: ${String(error)}\n`),
    async (request, response) => {
      if (faults.use(target, 'down')) {
        reset(request);
        return;
      }
      if (faults.use(target, 'silent')) return;
      const slowSwitch = faults.use(target, 'slow');
      if (slowSwitch) await sleep(slowSwitch.delayMs);
      const result = await handle(request, response);
      if (!result) return;
      if (request.method === 'POST' && faults.use(target, 'lose-answer')) {
        reset(request);
        return;
      }
      sendJson(response, result.status, result.body);
    },
  );
