import type { EventLog } from '@cyclamengate/common/newEventLog';
import type { Metrics } from '@cyclamengate/common/newMetrics';
import DelegatingUpstreamClient from './DelegatingUpstreamClient.js';
import MAX_EVENT_BYTES from './maxEventBytes.js';
import newEventTail from './newEventTail.js';
import TruncatedAnswer from './TruncatedAnswer.js';
import type UpstreamClient from './UpstreamClient.js';
import type { UpstreamAnswer, UpstreamOutcome, UpstreamRequest } from './UpstreamClient.js';
import type { UpstreamEntry } from './upstreamEntry.js';

const FIRST_FAILURE_STATUS = 300;

export interface AnswerGuardOptions {
  log: EventLog;
  metrics: Metrics;
  client: UpstreamClient;
}

/**
 * Decides for all requests alike, callers', items and scoring calls, whether an answer may go on.
 *
 * A success bears its upstream's signature; without one it is not that upstream's.
 *
 * A stream of events is whole only if it ends between two events. The operating system closes the
 * connections of a process that is killed like those of one that is done, so an answer without a
 * length is not whole either if its upstream has ended.
 */
const newAnswerGuard = ({ log, metrics, client }: AnswerGuardOptions): UpstreamClient => {
  const cut = (entry: UpstreamEntry, request: UpstreamRequest, reason: string): TruncatedAnswer => {
    metrics.count('answers_not_whole');
    log.warn('answer.not-whole', { requestId: request.requestId, upstream: entry.id, reason });
    return new TruncatedAnswer(reason);
  };

  async function* readWhole(
    { body, hasLength, isEventStream }: UpstreamAnswer,
    entry: UpstreamEntry,
    request: UpstreamRequest,
  ): AsyncGenerator<Buffer> {
    const tail = newEventTail();
    for await (const chunk of body) {
      if (isEventStream && tail.add(chunk) > MAX_EVENT_BYTES) {
        throw cut(entry, request, 'event without an end');
      }
      yield chunk;
    }
    if (tail.pendingBytes() > 0) throw cut(entry, request, 'ended within an event');
    if (!hasLength && (await client.hasEnded(entry))) {
      throw cut(entry, request, 'upstream ended with an answer of unknown length');
    }
  }

  class AnswerGuardedClient extends DelegatingUpstreamClient {
    override async send(
      entry: UpstreamEntry,
      request: UpstreamRequest,
      firstByteDeadline: number,
      signal: AbortSignal,
    ): Promise<UpstreamOutcome> {
      const outcome = await super.send(entry, request, firstByteDeadline, signal);
      if (outcome.type === 'fault') return outcome;
      const { answer } = outcome;
      if (answer.status < FIRST_FAILURE_STATUS && answer.signature === null) {
        await answer.body[Symbol.asyncIterator]().return?.();
        metrics.count('answers_unsigned');
        return { type: 'fault', fault: { type: 'unknown', reason: 'unsigned answer' } };
      }
      if (answer.hasLength && !answer.isEventStream) return outcome;
      return { type: 'answer', answer: { ...answer, body: readWhole(answer, entry, request) } };
    }
  }
  return new AnswerGuardedClient(client);
};

export default newAnswerGuard;
