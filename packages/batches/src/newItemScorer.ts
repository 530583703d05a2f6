import type Clock from '@cyclamengate/common/Clock';
import type { EventLog } from '@cyclamengate/common/newEventLog';
import { findRoute, pickService } from '@cyclamengate/gateway/findRoute';
import type { Refusal } from '@cyclamengate/gateway/refusal';
import type { PlainRelay } from '@cyclamengate/gateway/newPlainRelay';
import type { PlainAdmissions } from '@cyclamengate/gateway/newPlainAdmissions';
import { BACKGROUND } from '@cyclamengate/gateway/workClasses';
import findHomes from '@cyclamengate/gateway/findHomes';
import type { EffectiveSettings } from '@cyclamengate/gateway/newSettingsView';
import type { Batch, ItemRequest } from './batchRecord.js';

/** Time limit of one call; scoring takes 45 ms, at most 220 ms. */
const CALL_TIMEOUT_MS = 1_500;
/** A second upstream may be called within one call if the first is unresponsive. */
const MAX_UPSTREAMS_PER_CALL = 2;
/**
 * Delay before a hedged request: no caller waits for a single score, and a second request costs a
 * slot and a connection.
 */
const HEDGE_AFTER_MS = 300;
const INITIAL_BACKOFF_MS = 40;
const MAX_BACKOFF_MS = 500;

/** The call that scores an item. */
export type ScoringCall = NonNullable<ItemRequest['scoring']>;

export type ScoreOutcome =
  | { type: 'score'; score: string }
  /** The scoring service failed as often as the route allows. */
  | { type: 'failed' }
  | { type: 'ended' };

/** The batch that an item belongs to. */
export type ScoredBatch = Pick<Batch, 'customer' | 'acceptedAt'>;

export interface ItemScorerOptions {
  clock: Clock;
  log: EventLog;
  relay: PlainRelay;
  admit: PlainAdmissions['run'];
  readSettings: () => EffectiveSettings | null;
}

/** Time for which a call that ended upstreams is held back, in milliseconds. */
const findHoldMs = ({ code, retryAfterMs }: Refusal): number =>
  code === 'deadly-request' ? (retryAfterMs ?? 0) : 0;

/** Requests an item's score: the signature of the scoring service's response. */
const newItemScorer = ({ clock, log, relay, admit, readSettings }: ItemScorerOptions) => {
  /** Calls the service once there is a place for it; null if it is no longer wanted then. */
  const call = async (
    scoring: ScoringCall,
    { customer, acceptedAt }: ScoredBatch,
    mayCall: () => boolean,
    signal: AbortSignal,
  ) => {
    const effective = readSettings();
    const route = effective && findRoute(effective, scoring.hostName, scoring.path);
    const service = route && pickService(route, 0);
    if (!route || !service) return null;
    const homes = findHomes(effective, route, customer);
    const newRequest = (crowded: ReadonlySet<string>) => ({
      crowded,
      requestId: scoring.id,
      work: 'scoring' as const,
      method: 'POST',
      path: scoring.path,
      hostName: scoring.hostName,
      headers: {},
      body: scoring.body,
      answerLease: null,
      customer: null,
      lastEventId: null,
      service,
      kind: `scoring ${route.name}`,
      homes,
      isIdempotent: true,
      maxUpstreams: MAX_UPSTREAMS_PER_CALL,
      deadline: clock.now() + CALL_TIMEOUT_MS,
      minHedgeDelayMs: HEDGE_AFTER_MS,
    });
    const work = {
      requestId: scoring.id,
      service,
      homes,
      customer,
      workClass: BACKGROUND,
      // Its batch decides how long it is wanted; the call's own time begins when it starts.
      deadline: Number.POSITIVE_INFINITY,
      order: acceptedAt,
    } as const;
    const start = async (crowded: ReadonlySet<string>) =>
      mayCall() ? relay(newRequest(crowded), signal) : null;
    const admitted = await admit(work, start, signal);
    return admitted.ok && admitted.val ? { route, outcome: admitted.val } : null;
  };

  /**
   * @param batch whose item is scored; the call carries no customer, but keeps to its homes
   * @param mayCall whether the item's batch is known to be still wanted
   */
  return async (
    scoring: ScoringCall,
    batch: ScoredBatch,
    mayCall: () => boolean,
    signal: AbortSignal,
  ): Promise<ScoreOutcome> => {
    let failures = 0;
    for (let calls = 0; !signal.aborted; calls += 1) {
      const called = mayCall() ? await call(scoring, batch, mayCall, signal) : null;
      if (called?.outcome.type === 'answer') {
        const { answer } = called.outcome;
        if (answer.status < 300 && answer.signature) {
          return { type: 'score', score: answer.signature };
        }
        if (answer.status === 500) failures += 1;
        if (failures >= called.route.maxUpstreams) {
          log.warn('scoring.hopeless', { requestId: scoring.id, failures });
          return { type: 'failed' };
        }
      }
      const backoffMs = Math.min(MAX_BACKOFF_MS, INITIAL_BACKOFF_MS * 2 ** Math.min(calls, 6));
      const holdMs = called?.outcome.type === 'refusal' ? findHoldMs(called.outcome.refusal) : 0;
      await clock.sleepUntil(clock.now() + Math.max(backoffMs, holdMs), signal);
    }
    return { type: 'ended' };
  };
};

export type ItemScorer = ReturnType<typeof newItemScorer>;

export default newItemScorer;
