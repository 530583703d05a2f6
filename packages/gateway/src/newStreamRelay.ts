import type { ServerResponse } from 'node:http';
import type Clock from '@cyclamengate/common/Clock';
import newDeadlineSignal from '@cyclamengate/common/newDeadlineSignal';
import type { EventLog } from '@cyclamengate/common/newEventLog';
import { unlimitedLease } from '@cyclamengate/common/newMemoryBudget';
import chooseUpstream from '@cyclamengate/engines/chooseUpstream';
import type { Candidate } from '@cyclamengate/engines/chooseUpstream';
import type { Health } from '@cyclamengate/engines/newHealth';
import MAX_EVENT_BYTES from '@cyclamengate/engines/maxEventBytes';
import newIdleTimeout from '@cyclamengate/engines/newIdleTimeout';
import type { IdleTimeout } from '@cyclamengate/engines/newIdleTimeout';
import type { Loads } from '@cyclamengate/engines/newLoads';
import TruncatedAnswer from '@cyclamengate/engines/TruncatedAnswer';
import type UpstreamClient from '@cyclamengate/engines/UpstreamClient';
import type { UpstreamAnswer } from '@cyclamengate/engines/UpstreamClient';
import computeTransferMs from '@cyclamengate/engines/computeTransferMs';
import type { Candidates } from './newCandidates.js';
import newEventSplitter from './newEventSplitter.js';
import { computeAnswerDeadline } from './newPlainAttempt.js';
import type { RelayedRequest } from './newPlainAttempt.js';
import { readAnswerBody } from './readAnswerBody.js';
import { answered } from './relayOutcome.js';
import type { RelayOutcome } from './relayOutcome.js';
import { notRunRefusal, uncertain, withRetryAt } from './refusal.js';

/** Timeout for an upstream's first byte; callers of streams disconnect after 2 s. */
const FIRST_BYTE_TIMEOUT_MS = 1_500;
/**
 * Maximum gap within a stream that another upstream can resume before its caller disconnects. A slow
 * engine generates an event every 150 ms.
 */
const CHUNK_TIMEOUT_MS = 1_200;
/** Bytes that a caller has yet to read before its upstream is read on. */
const MAX_UNSENT_BYTES = 65_536;
const UNSENT_POLL_MS = 20;
/** The id of a resumable stream's last event is sent to the next upstream as a header. */
const EVENT_ID = /^[\x21-\x7e]{1,256}$/;
/** A partial event is joined to each part that follows. */
const COPIES_OF_EVENT = 2;

export interface StreamRelayOptions {
  clock: Clock;
  log: EventLog;
  client: UpstreamClient;
  candidates: Candidates;
  health: Health;
  loads: Loads;
}

/** An answer that is final unless another upstream does better. */
interface StreamFailure {
  answer: UpstreamAnswer;
  body: Buffer;
  rest: AsyncIterable<Buffer> | null;
  candidate: Candidate;
}

type AttemptEnd = 'whole' | 'broken' | 'not-run' | 'held' | 'failed' | 'given-up';

/**
 * Relays a stream of events as they arrive.
 *
 * An upstream's answer can end in the middle of an event. Only complete events are forwarded, so a
 * resumable stream continues at another upstream after its last complete event, within one
 * response. Any other stream is ended by destroying the connection, which the caller can't mistake
 * for a regular end. An upstream that falls silent in the middle of a resumable stream counts as
 * failed; the connection may have been forgotten between the two ends. Whatever its upstream does, a
 * stream ends at its deadline.
 */
const newStreamRelay = (options: StreamRelayOptions) => {
  const { clock, log, client, candidates, health, loads } = options;

  return async (
    request: RelayedRequest,
    response: ServerResponse,
    callerSignal: AbortSignal,
  ): Promise<RelayOutcome> => {
    const deadline = newDeadlineSignal(clock, computeAnswerDeadline(request));
    const signal = AbortSignal.any([callerSignal, deadline.signal]);
    const tried = new Set<string>();
    let { lastEventId } = request;
    /** Whether an upstream may have run the request. */
    let hasRun = false;
    let failure: StreamFailure | null = null;
    /** The answer whose head the caller got. */
    let headOf: UpstreamAnswer | null = null;
    let lastReason = 'no upstream';
    /** When the request may be sent again; null if it is not held. */
    let heldUntil: number | null = null;

    /** A caller that reads slowly slows its upstream down instead of filling this host's memory. */
    const waitUntilSent = async (onWait: () => void): Promise<void> => {
      while (response.writableLength > MAX_UNSENT_BYTES && !signal.aborted) {
        await clock.sleepUntil(clock.now() + UNSENT_POLL_MS, signal);
        onWait();
      }
    };

    const relayEvents = async (
      { entry }: Candidate,
      answer: UpstreamAnswer,
      onChunk: () => void,
    ): Promise<AttemptEnd> => {
      const split = newEventSplitter();
      const lease = request.answerLease ?? unlimitedLease;
      /** A response goes on with the head of the upstream that gave its first event. */
      const sendHead = (): void => {
        if (response.headersSent) return;
        response.writeHead(answer.status, answer.headers);
        headOf = answer;
      };
      for await (const chunk of answer.body) {
        onChunk();
        const { bytes, lastId, pendingBytes } = split(chunk);
        // Also of an answer that does not call itself a stream of events.
        if (pendingBytes > MAX_EVENT_BYTES) {
          lastReason = 'event without an end';
          health.recordFailure(entry.id, lastReason);
          return 'broken';
        }
        // An event that never ends would be collected until this host ends.
        if (!lease.resize(COPIES_OF_EVENT * pendingBytes)) {
          lastReason = 'no memory';
          return 'broken';
        }
        if (request.isIdempotent && lastId !== null && !EVENT_ID.test(lastId)) {
          lastReason = 'an event id that is none';
          health.recordFailure(entry.id, lastReason);
          return 'broken';
        }
        lastEventId = lastId ?? lastEventId;
        if (bytes.length > 0) {
          sendHead();
          response.write(bytes);
        }
        await waitUntilSent(onChunk);
      }
      if (split(Buffer.alloc(0)).pendingBytes > 0) return 'broken';
      // A stream that is resumed after its last event has none that could bring its head.
      sendHead();
      return 'whole';
    };

    /** @param idle aborts the run when the upstream is silent; null if nothing could resume it */
    const runAttempt = async (
      candidate: Candidate,
      idle: IdleTimeout | null,
    ): Promise<AttemptEnd> => {
      const { entry } = candidate;
      const outcome = await client.send(
        entry,
        { ...request, lastEventId, mustNotRepeat: !request.isIdempotent },
        Math.min(
          request.deadline,
          clock.now() + FIRST_BYTE_TIMEOUT_MS + computeTransferMs(request.body),
        ),
        idle ? AbortSignal.any([signal, idle.signal]) : signal,
      );
      if (signal.aborted) return 'given-up';
      if (outcome.type === 'fault') {
        if (outcome.fault.type === 'held') {
          heldUntil = outcome.fault.retryAt;
          lastReason = 'held';
          return 'held';
        }
        lastReason = outcome.fault.reason;
        if (outcome.fault.type === 'not-run') return 'not-run';
        health.recordFailure(entry.id, lastReason);
        return 'broken';
      }
      const { answer } = outcome;
      if (answer.load) loads.report(entry.id, answer.load);
      if (answer.status >= 300) {
        const body = await readAnswerBody(answer, request.answerLease ?? unlimitedLease);
        lastReason = `status ${answer.status}`;
        if (body.type === 'truncated') return 'broken';
        failure = { answer, body: body.bytes, rest: body.rest, candidate };
        return 'failed';
      }
      try {
        return await relayEvents(candidate, answer, () => idle?.reset());
      } catch (error) {
        if (!(error instanceof TruncatedAnswer)) throw error;
        lastReason = idle?.signal.aborted ? 'silent' : error.message;
        if (!signal.aborted) health.recordFailure(entry.id, lastReason);
        return signal.aborted ? 'given-up' : 'broken';
      }
    };

    const mayStart = (): boolean =>
      !signal.aborted &&
      heldUntil === null &&
      clock.now() < request.deadline &&
      tried.size < request.maxUpstreams &&
      (request.isIdempotent || !hasRun);

    while (mayStart()) {
      const next = chooseUpstream(candidates(request.service, tried, request.homes));
      if (!next) break;
      tried.add(next.entry.id);
      loads.begin(next.entry.id);
      const idle = request.isIdempotent
        ? newIdleTimeout({
            clock,
            signal,
            firstTimeoutMs: FIRST_BYTE_TIMEOUT_MS + computeTransferMs(request.body),
            timeoutMs: CHUNK_TIMEOUT_MS,
          })
        : null;
      const end = await runAttempt(next, idle).finally(() => {
        idle?.end();
        loads.end(next.entry.id);
      });
      if (end === 'whole') {
        deadline.end();
        response.end();
        health.recordSuccess(next.entry.id);
        const { status, headers, signature } = headOf as unknown as UpstreamAnswer;
        const answer = { status, headers, signature, body: Buffer.alloc(0), rest: null };
        return answered(answer, next, tried.size);
      }
      hasRun ||= end === 'broken' || end === 'failed' || deadline.signal.aborted;
      log.info('stream.run-ended', {
        requestId: request.requestId,
        upstream: next.entry.id,
        end,
        lastEventId,
        reason: lastReason,
      });
    }
    deadline.end();
    if (response.headersSent) response.destroy();
    const upstreams = tried.size;
    const failed = failure as StreamFailure | null;
    if (failed && !response.headersSent) {
      const { status, headers, signature } = failed.answer;
      const answer = { status, headers, signature, body: failed.body, rest: failed.rest };
      return answered(answer, failed.candidate, upstreams);
    }
    const refusal = hasRun
      ? withRetryAt(
          deadline.signal.aborted ? uncertain('deadline', 504) : uncertain('upstream-failed'),
          heldUntil ?? client.heldUntil(request.service, request),
          clock.now(),
        )
      : notRunRefusal(heldUntil, clock.now());
    return { type: 'refusal', refusal, hasRun, upstreams };
  };
};

export type StreamRelay = ReturnType<typeof newStreamRelay>;

export default newStreamRelay;
