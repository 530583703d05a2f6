import type { ServerResponse } from 'node:http';
import type Clock from '@cyclamengate/common/Clock';
import type { HandlerRequest } from '@cyclamengate/common/handler';
import { BODY_TIMEOUT_MS, MAX_BODY_BYTES } from '@cyclamengate/common/limits';
import newId from '@cyclamengate/common/newId';
import { Err, Ok } from '@cyclamengate/common/outcome';
import type { Result } from '@cyclamengate/common/outcome';
import { readBody } from '@cyclamengate/common/readBody';
import type { Runtime } from '@cyclamengate/coordination/newRuntime';
import authenticate from '@cyclamengate/routing/authenticate';
import type { Caller } from '@cyclamengate/routing/authenticate';
import { notRun } from '@cyclamengate/routing/refusal';
import type { Refusal } from '@cyclamengate/routing/refusal';
import { prioritySchema } from '@cyclamengate/upstreams/generation';
import type { Priority } from '@cyclamengate/upstreams/generation';

/** Settings count as too old if the host could not confirm for this long that they are current. */
export const MAX_SETTINGS_AGE_MS = 10_000;
const DEFAULT_QUEUE_TIMEOUT_MS = 60_000;
const MAX_QUEUE_TIMEOUT_MS = 600_000;

/** A request that passed the checks of the gate and may be queued. */
export interface AdmittedRequest {
  requestId: string;
  caller: Caller;
  priority: Priority;
  /** The latest time at which it may start, on the monotonic clock. */
  deadline: number;
  body: Buffer;
}

const readQueueTimeoutMs = (header: string | string[] | undefined): number => {
  const requested = Number(header ?? DEFAULT_QUEUE_TIMEOUT_MS);
  return requested > 0 ? Math.min(MAX_QUEUE_TIMEOUT_MS, requested) : DEFAULT_QUEUE_TIMEOUT_MS;
};

/** Checks a request before it is queued: its key, the age of the settings, its headers and body. */
const newGate = (clock: Clock, runtime: Runtime) => {
  let isClosed = false;

  const areSettingsTooOld = ({ customer }: Caller): boolean =>
    customer.whenCutOff === 'refuse' &&
    clock.now() > runtime.follower.currentAt() + MAX_SETTINGS_AGE_MS;

  const readRequestBody = async (request: HandlerRequest): Promise<Result<Buffer, Refusal>> => {
    const body = await readBody(request, MAX_BODY_BYTES, BODY_TIMEOUT_MS);
    if (body.ok) return body;
    const code = body.val === 'too-large' || body.val === 'too-slow' ? body.val : 'bad-request';
    return Err(notRun(code, `body refused: ${body.val}`));
  };

  const admit = async (request: HandlerRequest): Promise<Result<AdmittedRequest, Refusal>> => {
    const requestId = newId('request');
    if (isClosed) return Err(notRun('leaving', 'this host is shutting down', clock.now()));
    const caller = authenticate(request.headers, runtime.effective());
    if (!caller.ok) return Err(notRun(caller.val, 'no customer for this request'));
    if (areSettingsTooOld(caller.val)) {
      const message = 'this host is cut off and the customer wants no answers on old settings';
      return Err(notRun('settings-too-old', message, clock.now() + MAX_SETTINGS_AGE_MS));
    }
    const priority = prioritySchema.safeParse(request.headers['x-priority'] ?? 'interactive');
    if (!priority.success)
      return Err(notRun('bad-request', 'x-priority: allowed: interactive, background, training'));
    const deadline = clock.now() + readQueueTimeoutMs(request.headers['x-timeout-ms']);
    const body = await readRequestBody(request);
    if (!body.ok) return body;
    return Ok({ requestId, caller: caller.val, priority: priority.data, deadline, body: body.val });
  };

  /** Makes `admit` refuse all further requests. */
  const close = (): void => {
    isClosed = true;
  };

  /** Creates a controller that aborts if the connection closes before the response is complete. */
  const watchCaller = (response: ServerResponse): AbortController => {
    const controller = new AbortController();
    response.once('close', () => {
      if (!response.writableFinished) controller.abort('caller-gone');
    });
    return controller;
  };

  return { admit, close, watchCaller };
};

export type Gate = ReturnType<typeof newGate>;

export default newGate;
