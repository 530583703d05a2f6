import { ACCEPTED, rejected } from '@cyclamengate/settings/decision';
import type { Decision } from '@cyclamengate/settings/decision';
import type { CallClaim, CallOutcome } from './callRecords.js';
import type { CallStates } from './callState.js';

/** How long an idempotency key is retained, by the log's clock. */
const CALL_RETENTION_MS = 86_400_000;

/** The key of a call in the state: idempotency keys are unique per customer. */
export const callKey = (customer: string, idempotencyKey: string): string =>
  `${customer}/${idempotencyKey}`;

/** Evicts calls that are older than the retention period. */
export const evictCalls = (calls: CallStates, time: number): void =>
  Object.entries(calls).forEach(([key, { at }]) => {
    if (at < time - CALL_RETENTION_MS) delete calls[key];
  });

/**
 * Grants the right to run a call to the first claim in the log. A caller may send the same call to
 * two hosts at once, or retry it after a lost answer; every reader rejects all later claims.
 */
export const applyCallClaim = (calls: CallStates, time: number, claim: CallClaim): Decision => {
  const key = callKey(claim.customer, claim.idempotencyKey);
  const current = calls[key];
  if (current && current.attempt !== claim.attempt) {
    return rejected(`claimed already; outcome ${current.outcome}`);
  }
  calls[key] = {
    attempt: claim.attempt,
    requestDigest: claim.requestDigest,
    outcome: current?.outcome ?? 'claimed',
    at: time,
  };
  return ACCEPTED;
};

/** Ends a claim. If the call was never sent, it can be claimed again. */
export const applyCallOutcome = (calls: CallStates, outcome: CallOutcome): Decision => {
  const key = callKey(outcome.customer, outcome.idempotencyKey);
  const current = calls[key];
  if (current?.attempt !== outcome.attempt) return rejected('claimed by another attempt');
  if (current.outcome !== 'claimed') return rejected(`ended already as ${current.outcome}`);
  if (outcome.outcome === 'not-run') delete calls[key];
  else current.outcome = outcome.outcome;
  return ACCEPTED;
};
