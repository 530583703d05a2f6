import type { Result } from '@cyclamengate/common/outcome';
import { Err } from '@cyclamengate/common/outcome';
import { notRun } from '@cyclamengate/routing/refusal';
import type { Refusal } from '@cyclamengate/routing/refusal';
import type { Ticket } from '@cyclamengate/routing/ticket';
import type { EntryDependencies } from './entryDependencies.js';
import type { AdmittedRequest } from './newGate.js';
import { KEY_WITHDRAWN } from './newOpenRequests.js';
import type { OpenRequest } from './newOpenRequests.js';

/** The answer to one request and its actual cost, in tokens. */
export interface WorkResult<T> {
  answer: Result<T, Refusal>;
  tokens: number;
}

/** Reports the withdrawn key, rather than the abort that it caused, to the caller. */
const replaceIfKeyWithdrawn = (refusal: Refusal, signal: AbortSignal): Refusal =>
  signal.reason === KEY_WITHDRAWN
    ? { ...refusal, code: 'key-withdrawn', message: 'the key was withdrawn', retryAt: null }
    : refusal;

/**
 * Queues an admitted request and runs its work. Until it ends the request is tracked as open, so that
 * it counts against its customer's limit while it runs and is aborted if its key is withdrawn.
 */
const serveAdmitted = async <T>(
  { admissions, openRequests }: EntryDependencies,
  admitted: AdmittedRequest,
  service: string,
  cost: number,
  controller: AbortController,
  work: (signal: AbortSignal) => Promise<WorkResult<T>>,
): Promise<Result<T, Refusal>> => {
  const { caller, priority, deadline } = admitted;
  const openRequest: OpenRequest = {
    customer: caller.customer.id,
    keyDigest: caller.keyDigest,
    controller,
  };
  const ticket: Ticket = {
    customer: openRequest.customer,
    priority,
    cost,
    deadline,
    isCancelled: false,
  };
  const admission = admissions.forService(service);
  const run = async (): Promise<WorkResult<T>> => {
    if (controller.signal.aborted) {
      return { answer: Err(notRun('caller-gone', 'given up before it started')), tokens: 0 };
    }
    openRequests.startRunning(openRequest);
    const result = await work(controller.signal).finally(() =>
      openRequests.endRunning(openRequest),
    );
    admission.correct(ticket, result.tokens);
    return result;
  };
  openRequests.begin(openRequest);
  try {
    const admissionResult = await admission.run(ticket, run, controller.signal);
    const answer = admissionResult.ok ? admissionResult.val.answer : admissionResult;
    return answer.ok ? answer : Err(replaceIfKeyWithdrawn(answer.val, controller.signal));
  } finally {
    openRequests.end(openRequest);
  }
};

export default serveAdmitted;
