import type Clock from '@cyclamengate/common/Clock';
import newId from '@cyclamengate/common/newId';
import { Err, Ok } from '@cyclamengate/common/outcome';
import type { Result } from '@cyclamengate/common/outcome';
import type { CallOutcome } from '@cyclamengate/coordination/callRecords';
import type { LogWriter } from '@cyclamengate/coordination/newLogWriter';
import { notRun } from './refusal.js';
import type { Refusal } from './refusal.js';

const CLAIM_TIMEOUT_MS = 3_000;
const OUTCOME_TIMEOUT_MS = 30_000;
const RETRY_AFTER_MS = 5_000;

/** A claimed call, whose outcome is to be recorded. */
export interface ClaimedCall {
  recordOutcome: (outcome: CallOutcome['outcome']) => void;
}

/**
 * Writes a claim to the log for each call that may not be repeated, before the call is sent to an
 * upstream.
 *
 * If a caller sends a call again to another host, the two hosts can't learn of each other in time;
 * the order of the claims in the log decides which one runs the call. Without a confirmed claim the
 * call is refused as not run. A claim with an unknown outcome is abandoned together with its
 * attempt id, so it can't permit a run later.
 */
const newCallClaims = (clock: Clock, writer: LogWriter) => {
  const recordOutcome = (
    customer: string,
    idempotencyKey: string,
    attempt: string,
    outcome: CallOutcome['outcome'],
  ): void => {
    const record = { type: 'call-outcome', customer, idempotencyKey, attempt, outcome } as const;
    // Not awaited: if the record is never written, the key stays claimed and repetitions are
    // refused.
    writer.write(record, clock.now() + OUTCOME_TIMEOUT_MS).catch(() => undefined);
  };

  return async (
    customer: string,
    idempotencyKey: string,
    requestDigest: string,
  ): Promise<Result<ClaimedCall, Refusal>> => {
    const attempt = newId('attempt');
    const decision = await writer.write(
      { type: 'call-claim', customer, idempotencyKey, requestDigest, attempt },
      clock.now() + CLAIM_TIMEOUT_MS,
    );
    if (!decision.ok) {
      recordOutcome(customer, idempotencyKey, attempt, 'not-run');
      const retryAt = clock.now() + RETRY_AFTER_MS;
      return Err(notRun('claim-not-possible', 'the log did not confirm the claim', retryAt));
    }
    if (!decision.val.accepted) {
      // This attempt has not run, but an earlier one may have, so the call's outcome is unknown.
      const message = decision.val.reason;
      return Err({ code: 'idempotency-key-used', outcome: 'unknown', message, retryAt: null });
    }
    return Ok({
      recordOutcome: (outcome) => recordOutcome(customer, idempotencyKey, attempt, outcome),
    });
  };
};

export type CallClaims = ReturnType<typeof newCallClaims>;

export default newCallClaims;
