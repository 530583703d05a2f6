import type { Homes } from '@cyclamengate/common/homes';
import type Clock from '@cyclamengate/common/Clock';
import { unlimitedLease } from '@cyclamengate/common/newMemoryBudget';
import type { MemoryLease } from '@cyclamengate/common/newMemoryBudget';
import type { Candidate } from '@cyclamengate/engines/chooseUpstream';
import type { Health } from '@cyclamengate/engines/newHealth';
import type { Loads } from '@cyclamengate/engines/newLoads';
import type { Paces } from '@cyclamengate/engines/newPaces';
import type UpstreamClient from '@cyclamengate/engines/UpstreamClient';
import computeTransferMs from '@cyclamengate/engines/computeTransferMs';
import type { UpstreamRequest } from '@cyclamengate/engines/UpstreamClient';
import { discardAnswerBody, readAnswerBody } from './readAnswerBody.js';

/** Timers fire up to 1 ms early, and some fire late. */
export const TIMER_SLACK_MS = 5;
/**
 * An upstream stops at the deadline it was given and reports this a few milliseconds later. Waiting
 * for that report keeps the connection open and relays an answer that was completed just in time.
 */
const DEADLINE_GRACE_MS = 40;
/** For repeatable requests; others are only abandoned at their deadline. */
const FIRST_BYTE_TIMEOUT_MS = 1_000;

/** An upstream's answer with its body. */
export interface HeldAnswer {
  status: number;
  headers: Record<string, string>;
  signature: string | null;
  body: Buffer;
  /** What follows the body, of an answer that is too large to be held; null if it is complete. */
  rest: AsyncIterable<Buffer> | null;
}

export interface RelayedRequest extends Omit<UpstreamRequest, 'deadline'> {
  service: string;
  /** Kind of work; calls of one kind take about the same time. */
  kind: string;
  homes: Homes;
  isIdempotent: boolean;
  maxUpstreams: number;
  deadline: number;
  /** Counts the bodies of its answers; null if only their status and signature are of use. */
  answerLease?: Pick<MemoryLease, 'grow' | 'resize'> | null;
  /** Minimum delay before a hedged request is sent, in milliseconds. */
  minHedgeDelayMs?: number;
  /** Upstreams whose last places are left to others; chosen only if there are no others. */
  crowded?: ReadonlySet<string>;
}

export interface PlainAttemptOptions {
  clock: Clock;
  client: UpstreamClient;
  health: Health;
  loads: Loads;
  paces: Pick<Paces, 'record' | 'expectedMs'>;
}

/** Outcome of sending a request to one upstream. */
export type Attempt =
  | { type: 'answer'; answer: HeldAnswer }
  | { type: 'not-run'; reason: string }
  /** Not sent; `retryAt` is on the monotonic clock. */
  | { type: 'held'; retryAt: number }
  /** May have run; `isSilent` if the upstream did not answer in time. */
  | { type: 'failed'; reason: string; isSilent: boolean };

/** When an attempt's answer is given up. */
export const computeAnswerDeadline = ({ deadline }: RelayedRequest): number =>
  deadline + DEADLINE_GRACE_MS;

/**
 * Sends a request to one upstream and reads its complete answer, and records the upstream's load,
 * health and pace.
 */
const newPlainAttempt =
  ({ clock, client, health, loads, paces }: PlainAttemptOptions) =>
  async (candidate: Candidate, request: RelayedRequest, signal: AbortSignal): Promise<Attempt> => {
    const { entry } = candidate;
    const startedAt = clock.now();
    const firstByteTimeoutMs = FIRST_BYTE_TIMEOUT_MS + computeTransferMs(request.body);
    const firstByteDeadline = request.isIdempotent
      ? Math.min(computeAnswerDeadline(request), startedAt + firstByteTimeoutMs)
      : computeAnswerDeadline(request);
    loads.begin(entry.id);
    try {
      const outcome = await client.send(entry, request, firstByteDeadline, signal);
      if (outcome.type === 'fault') {
        const { fault } = outcome;
        if (fault.type === 'held') return fault;
        const isUpstreamFailure = fault.type === 'unknown' || fault.isUnreachable;
        // A caller's deadline that is shorter than the timeout does not indicate a failure.
        const isShortDeadline =
          clock.now() >= request.deadline - TIMER_SLACK_MS &&
          clock.now() < startedAt + firstByteTimeoutMs;
        if (isUpstreamFailure && !isShortDeadline && !signal.aborted)
          health.recordFailure(entry.id, fault.reason);
        return fault.type === 'not-run'
          ? { type: 'not-run', reason: fault.reason }
          : {
              type: 'failed',
              reason: fault.reason,
              isSilent: clock.now() >= firstByteDeadline - TIMER_SLACK_MS,
            };
      }
      const { answer } = outcome;
      if (answer.load) loads.report(entry.id, answer.load);
      const { answerLease = unlimitedLease } = request;
      const body =
        answerLease === null
          ? await discardAnswerBody(answer)
          : await readAnswerBody(answer, answerLease);
      if (body.type === 'truncated') {
        const reason = `answer broken off: ${body.reason}`;
        if (!signal.aborted) health.recordFailure(entry.id, reason);
        return { type: 'failed', reason, isSilent: false };
      }
      health.recordSuccess(entry.id);
      // A refusal or an error takes less time than the work.
      if (answer.status < 300) {
        const isQueued = (answer.load?.waiting ?? 0) > 0;
        paces.record(entry, request.kind, clock.now() - startedAt, isQueued);
      }
      const { status, headers, signature } = answer;
      const { bytes, rest } = body;
      return { type: 'answer', answer: { status, headers, signature, body: bytes, rest } };
    } finally {
      loads.end(entry.id);
    }
  };

export default newPlainAttempt;
