import type { PlainRelay } from './newPlainRelay.js';
import type { RelayedRequest } from './newPlainAttempt.js';
import type { PlainAdmissions } from './newPlainAdmissions.js';
import type { Work } from './newServiceAdmission.js';
import type { RelayOutcome } from './relayOutcome.js';
import type { WorkClass } from './workClasses.js';

/**
 * Relays callers' requests once they have a place; refuses at once what can't be done in time, and what
 * still waits when its wait is aborted.
 */
const newAdmittedRelay =
  (admissions: PlainAdmissions, relay: PlainRelay) =>
  async (
    request: RelayedRequest,
    workClass: WorkClass,
    signal: AbortSignal,
    waitSignal: AbortSignal = signal,
  ): Promise<RelayOutcome> => {
    const { requestId, service, homes, customer, deadline } = request;
    const work: Work = { requestId, service, homes, customer, workClass, deadline, order: 0 };
    const admitted = await admissions.run(work, () => relay(request, signal), waitSignal);
    if (!admitted.ok) {
      return { type: 'refusal', refusal: admitted.val, hasRun: false, upstreams: 0 };
    }
    const outcome = admitted.val;
    const isFull =
      outcome.type === 'refusal' && outcome.refusal.code === 'no-upstream' && outcome.upstreams > 0;
    if (!isFull) return outcome;
    const retryAfterMs = Math.max(
      outcome.refusal.retryAfterMs ?? 0,
      admissions.computeReturnMs(work),
    );
    return { ...outcome, refusal: { ...outcome.refusal, retryAfterMs } };
  };

export type AdmittedRelay = ReturnType<typeof newAdmittedRelay>;

export default newAdmittedRelay;
