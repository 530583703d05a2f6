import type { EventLog } from '@cyclamengate/common/newEventLog';
import type { Candidate } from '@cyclamengate/engines/chooseUpstream';
import chooseUpstream from '@cyclamengate/engines/chooseUpstream';
import computeTransferMs from '@cyclamengate/engines/computeTransferMs';
import type { Candidates } from './newCandidates.js';
import newPlainAttempt, { computeAnswerDeadline, TIMER_SLACK_MS } from './newPlainAttempt.js';
import type {
  Attempt,
  HeldAnswer,
  PlainAttemptOptions,
  RelayedRequest,
} from './newPlainAttempt.js';
import { notRunRefusal, uncertain, withRetryAt } from './refusal.js';
import { answered } from './relayOutcome.js';
import type { RelayOutcome } from './relayOutcome.js';

/** A hedged request is sent after this multiple of the time that its kind takes at the upstream. */
const HEDGE_TIME_FACTOR = 2.5;
/** Half of the usual latency target of 190 ms; most calls take 45 ms, one in a hundred 180 ms. */
const MIN_HEDGE_DELAY_MS = 100;
/**
 * Time that a redundant attempt gets to finish once the request is answered: it is usually nearly
 * done, and aborting it would close its connection, which the next request needs.
 */
const REDUNDANT_ATTEMPT_GRACE_MS = 300;

/** The outcome of an attempt, with what aborts it. */
interface AttemptEnd {
  result: Attempt;
  candidate: Candidate;
  controller: AbortController;
}

export interface PlainRelayOptions extends PlainAttemptOptions {
  log: EventLog;
  candidates: Candidates;
  /** Decides between equal upstreams. */
  random?: () => number;
}

/**
 * Gets a complete answer to a request from the upstreams of a service.
 *
 * An upstream can become unresponsive while its connection stays open, and the caller would wait
 * until its deadline. If the request may be repeated, a hedged request is sent to a second
 * upstream; the first complete answer is used and the other attempt aborted soon after. A request
 * that may not be repeated is only sent to another upstream if it is certain that it has not run.
 */
const newPlainRelay = (options: PlainRelayOptions) => {
  const { clock, log, client, candidates, paces, random } = options;
  const attempt = newPlainAttempt(options);

  const computeHedgeDelayMs = (
    { entry }: Candidate,
    { kind, body, minHedgeDelayMs = 0 }: RelayedRequest,
  ): number =>
    computeTransferMs(body) +
    Math.max(
      minHedgeDelayMs,
      MIN_HEDGE_DELAY_MS,
      (paces.expectedMs(entry, kind) ?? 0) * HEDGE_TIME_FACTOR,
    );

  /**
   * An answer is final unless it is a server error, which is retried if that is allowed, or is being
   * passed on.
   */
  const isFinal = ({ status, rest }: HeldAnswer): boolean => status < 500 || rest !== null;

  return async (request: RelayedRequest, signal: AbortSignal): Promise<RelayOutcome> => {
    const tried = new Set<string>();
    /** Upstreams that broke the request off; they may be asked again if there are no others. */
    const broken = new Set<string>();
    let attempts = 0;
    const controllers = new Set<AbortController>();
    const running = new Set<Promise<AttemptEnd>>();
    /** Of the attempt whose answer is still being read while it is passed on. */
    let answering: AbortController | null = null;
    /** Whether an upstream may have run the request. */
    let hasRun = false;
    let lastFailure: { answer: HeldAnswer; candidate: Candidate } | null = null;
    let lastReason = 'no upstream';
    /** When the request may be sent again; null if it is not held. */
    let heldUntil: number | null = null;

    const start = (candidate: Candidate): Promise<AttemptEnd> => {
      attempts += 1;
      tried.add(candidate.entry.id);
      broken.delete(candidate.entry.id);
      const controller = new AbortController();
      controllers.add(controller);
      return attempt(candidate, request, AbortSignal.any([signal, controller.signal])).then(
        (result) => ({ result, candidate, controller }),
      );
    };

    const abortAll = (): void =>
      controllers.forEach((controller) => {
        if (controller !== answering) controller.abort('settled');
      });

    /** If the caller disconnects, its signal aborts the remaining attempts at once. */
    const abortRemaining = async (outcome: RelayOutcome): Promise<void> => {
      if (outcome.type === 'answer' && running.size > 0) {
        await clock.sleepUntil(clock.now() + REDUNDANT_ATTEMPT_GRACE_MS, signal);
      }
      abortAll();
    };

    const finish = (outcome: RelayOutcome): RelayOutcome => {
      void abortRemaining(outcome);
      const fields = { requestId: request.requestId, service: request.service };
      if (outcome.type === 'refusal') {
        log.warn('request.refused', {
          ...fields,
          code: outcome.refusal.code,
          reason: lastReason,
          hasRun: outcome.hasRun,
          upstreams: [...tried],
          homes: request.homes && [...request.homes],
          leftMs: Math.round(request.deadline - clock.now()),
        });
      } else if (tried.size > 1) {
        log.info('request.retried', { ...fields, upstreams: [...tried], reason: lastReason });
      }
      return outcome;
    };

    const mayStart = (): boolean =>
      attempts < request.maxUpstreams &&
      (request.isIdempotent || !hasRun) &&
      heldUntil === null &&
      !signal.aborted;

    const chooseExcept = (excluded: ReadonlySet<string>): Candidate | null =>
      chooseUpstream(candidates(request.service, excluded, request.homes), random);

    /** Crowded upstreams come after the others, and those that broke off an answer last. */
    const chooseNext = (): Candidate | null => {
      const { crowded } = request;
      const uncrowded = crowded?.size ? chooseExcept(new Set([...tried, ...crowded])) : null;
      if (uncrowded) return uncrowded;
      const untried = chooseExcept(tried);
      if (untried || broken.size === 0) return untried;
      return chooseExcept(new Set([...tried].filter((id) => !broken.has(id))));
    };

    const startNext = (): Candidate | null => {
      const next = mayStart() ? chooseNext() : null;
      if (!next) return null;
      // Only what the race below awaits may reject: nothing awaits a promise made beside it.
      const run = start(next).finally(() => running.delete(run));
      running.add(run);
      return next;
    };

    let newestCandidate = startNext();
    while (running.size > 0) {
      const hedgeTimer = new AbortController();
      // After a broken run the next one goes alone: it may crash its upstream as well.
      const mayHedge: boolean =
        request.isIdempotent && !hasRun && running.size === 1 && newestCandidate !== null;
      const waitUntil: number = mayHedge
        ? Math.min(
            computeAnswerDeadline(request),
            clock.now() + computeHedgeDelayMs(newestCandidate as Candidate, request),
          )
        : computeAnswerDeadline(request);
      const first = await Promise.race([
        ...running,
        clock.sleepUntil(waitUntil, hedgeTimer.signal).then(() => null),
      ]);
      hedgeTimer.abort('answered');
      if (first === null) {
        if (clock.now() >= computeAnswerDeadline(request)) {
          lastReason = 'deadline';
          return finish({
            type: 'refusal',
            refusal: uncertain('deadline', 504),
            hasRun: true,
            upstreams: tried.size,
          });
        }
        newestCandidate = startNext();
      } else {
        const { result, candidate, controller } = first;
        if (result.type === 'answer') {
          if (result.answer.rest !== null) answering = controller;
          if (isFinal(result.answer) || !mayStart()) {
            return finish(answered(result.answer, candidate, tried.size));
          }
          hasRun = true;
          lastFailure = { answer: result.answer, candidate };
          lastReason = `status ${result.answer.status}`;
        } else if (result.type === 'held') {
          heldUntil = result.retryAt;
          lastReason = 'held';
          tried.delete(candidate.entry.id);
        } else {
          hasRun = hasRun || result.type === 'failed';
          if (result.type === 'failed' && !result.isSilent) broken.add(candidate.entry.id);
          lastReason = result.reason;
        }
        if (running.size === 0) newestCandidate = startNext();
      }
    }
    if (lastFailure) {
      return finish(answered(lastFailure.answer, lastFailure.candidate, tried.size));
    }
    const isPastDeadline = clock.now() >= request.deadline - TIMER_SLACK_MS;
    // A request that ended upstreams must not come back before every host knows of it.
    const refusal = hasRun
      ? withRetryAt(
          uncertain(isPastDeadline ? 'deadline' : 'upstream-failed', isPastDeadline ? 504 : 502),
          heldUntil ?? client.heldUntil(request.service, request),
          clock.now(),
        )
      : notRunRefusal(heldUntil, clock.now());
    return finish({ type: 'refusal', refusal, hasRun, upstreams: tried.size });
  };
};

export type PlainRelay = ReturnType<typeof newPlainRelay>;

export default newPlainRelay;
