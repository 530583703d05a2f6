import { ACCEPTED, rejected } from '@cyclamengate/settings/decision';
import type { Decision } from '@cyclamengate/settings/decision';
import type { CallClaim, CallOutcome } from './callRecords.js';
import type { CallStates } from './callState.js';

/** An idempotency key is remembered this long, by the log's clock. */
const CALL_KEPT_MS = 86_400_000;

/** How a customer's idempotency key is filed. */
export const callName = (customer: string, idempotencyKey: string): string =>
  `${customer}/${idempotencyKey}`;

/** Forgets keys past their time. */
export const forgetCalls = (calls: CallStates, time: number): void =>
  Object.entries(calls).forEach(([name, { at }]) => {
    if (at < time - CALL_KEPT_MS) delete calls[name];
  });

/**
 * Gives the right to run a call to the first claim in the log. The caller may send the same call to
 * two hosts at once, or again after a lost answer: every later claim is refused at every reader.
 */
export const applyCallClaim = (calls: CallStates, time: number, claim: CallClaim): Decision => {
  const name = callName(claim.customer, claim.idempotencyKey);
  const standing = calls[name];
  if (standing && standing.attempt !== claim.attempt) {
    return rejected(`claimed already; outcome ${standing.outcome}`);
  }
  calls[name] = {
    attempt: claim.attempt,
    requestDigest: claim.requestDigest,
    outcome: standing?.outcome ?? 'claimed',
    at: time,
  };
  return ACCEPTED;
};

/** Ends a claim. One whose call never left the host is free to be claimed again. */
export const applyCallOutcome = (calls: CallStates, outcome: CallOutcome): Decision => {
  const name = callName(outcome.customer, outcome.idempotencyKey);
  const standing = calls[name];
  if (standing?.attempt !== outcome.attempt) return rejected('claimed by another attempt');
  if (standing.outcome !== 'claimed') return rejected(`ended already as ${standing.outcome}`);
  if (outcome.outcome === 'not-run') delete calls[name];
  else standing.outcome = outcome.outcome;
  return ACCEPTED;
};
