import type { Result } from '@cyclamengate/common/outcome';
import { Err } from '@cyclamengate/common/outcome';
import { notRun } from '@cyclamengate/routing/refusal';
import type { Refusal } from '@cyclamengate/routing/refusal';
import type { Ticket } from '@cyclamengate/routing/ticket';
import type { EntryParts } from './entryParts.js';
import type { Admitted } from './newGate.js';
import { KEY_WITHDRAWN } from './newOpenRequests.js';
import type { OpenRequest } from './newOpenRequests.js';

/** How the work of one request ended, and what it cost, in tokens. */
export interface Worked<T> {
  answer: Result<T, Refusal>;
  tokens: number;
}

/** A key withdrawn in the middle is the reason the caller should see, not that the work stopped. */
const withReason = (refusal: Refusal, signal: AbortSignal): Refusal =>
  signal.reason === KEY_WITHDRAWN
    ? { ...refusal, code: 'key-withdrawn', message: 'the key was withdrawn', retryAt: null }
    : refusal;

/**
 * Takes an admitted request through the queue and through its work, as one of the host's open
 * requests: counted against the customer's limit while it runs, ended when its key is withdrawn.
 */
const serveOpen = async <T>(
  { admissions, openRequests }: EntryParts,
  admitted: Admitted,
  service: string,
  cost: number,
  controller: AbortController,
  work: (signal: AbortSignal) => Promise<Worked<T>>,
): Promise<Result<T, Refusal>> => {
  const { caller, priority, deadline } = admitted;
  const open: OpenRequest = {
    customer: caller.customer.id,
    keyDigest: caller.keyDigest,
    controller,
  };
  const ticket: Ticket = { customer: open.customer, priority, cost, deadline, isGivenUp: false };
  const admission = admissions.of(service);
  const run = async (): Promise<Worked<T>> => {
    if (controller.signal.aborted) {
      return { answer: Err(notRun('caller-gone', 'given up before it started')), tokens: 0 };
    }
    openRequests.startRunning(open);
    const worked = await work(controller.signal).finally(() => openRequests.endRunning(open));
    admission.correct(ticket, worked.tokens);
    return worked;
  };
  openRequests.begin(open);
  try {
    const admittedWork = await admission.run(ticket, run, controller.signal);
    const answer = admittedWork.ok ? admittedWork.val.answer : admittedWork;
    return answer.ok ? answer : Err(withReason(answer.val, controller.signal));
  } finally {
    openRequests.end(open);
  }
};

export default serveOpen;
