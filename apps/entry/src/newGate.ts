import type { ServerResponse } from 'node:http';
import type Clock from '@cyclamengate/common/Clock';
import type { HandlerRequest } from '@cyclamengate/common/handler';
import { BODY_TIMEOUT_MS, LARGEST_BODY_BYTES } from '@cyclamengate/common/limits';
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

/** A host that can't tell whether its settings are the newest calls them too old after this time. */
export const SETTINGS_FRESH_MS = 10_000;
const DEFAULT_WAIT_MS = 60_000;
const LONGEST_WAIT_MS = 600_000;

/** A request that may go on: whose it is, how urgent, until when it may wait. */
export interface Admitted {
  requestId: string;
  caller: Caller;
  priority: Priority;
  /** On the monotonic clock. */
  deadline: number;
  body: Buffer;
}

const readWaitMs = (header: string | string[] | undefined): number => {
  const wanted = Number(header ?? DEFAULT_WAIT_MS);
  return wanted > 0 ? Math.min(LONGEST_WAIT_MS, wanted) : DEFAULT_WAIT_MS;
};

/** What stands between a caller and the queue: key, freshness of settings, body. */
const newGate = (clock: Clock, runtime: Runtime) => {
  let isClosed = false;

  const isTooOld = ({ customer }: Caller): boolean =>
    customer.whenCutOff === 'refuse' &&
    clock.now() > runtime.follower.currentAt() + SETTINGS_FRESH_MS;

  const readWhole = async (request: HandlerRequest): Promise<Result<Buffer, Refusal>> => {
    const body = await readBody(request, LARGEST_BODY_BYTES, BODY_TIMEOUT_MS);
    if (body.ok) return body;
    const code = body.val === 'too-large' || body.val === 'too-slow' ? body.val : 'bad-request';
    return Err(notRun(code, `body refused: ${body.val}`));
  };

  const admit = async (request: HandlerRequest): Promise<Result<Admitted, Refusal>> => {
    const requestId = newId('request');
    if (isClosed) return Err(notRun('leaving', 'this host is shutting down', clock.now()));
    const caller = authenticate(request.headers, runtime.effective());
    if (!caller.ok) return Err(notRun(caller.val, 'no customer for this request'));
    if (isTooOld(caller.val)) {
      const message = 'this host is cut off and the customer wants no answers on old settings';
      return Err(notRun('settings-too-old', message, clock.now() + SETTINGS_FRESH_MS));
    }
    const priority = prioritySchema.safeParse(request.headers['x-priority'] ?? 'interactive');
    if (!priority.success)
      return Err(notRun('bad-request', 'x-priority: allowed: interactive, background, training'));
    const deadline = clock.now() + readWaitMs(request.headers['x-timeout-ms']);
    const body = await readWhole(request);
    if (!body.ok) return body;
    return Ok({ requestId, caller: caller.val, priority: priority.data, deadline, body: body.val });
  };

  /** Refuses all requests from here on. */
  const close = (): void => {
    isClosed = true;
  };

  /** A controller that aborts when the caller's connection ends before its answer does. */
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
