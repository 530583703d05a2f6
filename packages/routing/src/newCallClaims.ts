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

/** The right to run one call, to be ended with what came of it. */
export interface HeldCall {
  end: (outcome: CallOutcome['outcome']) => void;
}

/**
 * Claims calls that may not be repeated, in the log, before anything of them leaves.
 *
 * Two hosts that both get the call, from a caller that sends it again, can't know of each other in
 * time; the log's order decides between them. Without a claim the call is refused as not run: a
 * claim whose fate is unknown is given up with its attempt, so it can't license a run later.
 */
const newCallClaims = (clock: Clock, writer: LogWriter) => {
  const end = (
    customer: string,
    idempotencyKey: string,
    attempt: string,
    outcome: CallOutcome['outcome'],
  ): void => {
    const record = { type: 'call-outcome', customer, idempotencyKey, attempt, outcome } as const;
    // Not awaited: if it never lands, the key stays claimed and a repetition stays refused.
    writer.write(record, clock.now() + OUTCOME_TIMEOUT_MS).catch(() => undefined);
  };

  return async (
    customer: string,
    idempotencyKey: string,
    requestDigest: string,
  ): Promise<Result<HeldCall, Refusal>> => {
    const attempt = newId('attempt');
    const decision = await writer.write(
      { type: 'call-claim', customer, idempotencyKey, requestDigest, attempt },
      clock.now() + CLAIM_TIMEOUT_MS,
    );
    if (!decision.ok) {
      end(customer, idempotencyKey, attempt, 'not-run');
      const retryAt = clock.now() + RETRY_AFTER_MS;
      return Err(notRun('claim-not-possible', 'the log did not confirm the claim', retryAt));
    }
    if (!decision.val.accepted) {
      // This attempt has not run, but the call may have: only "unknown" is true for the caller.
      const message = decision.val.reason;
      return Err({ code: 'idempotency-key-used', outcome: 'unknown', message, retryAt: null });
    }
    return Ok({ end: (outcome) => end(customer, idempotencyKey, attempt, outcome) });
  };
};

export type CallClaims = ReturnType<typeof newCallClaims>;

export default newCallClaims;
