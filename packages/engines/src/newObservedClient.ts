import type { EventLog } from '@cyclamengate/common/newEventLog';
import type { Metrics } from '@cyclamengate/common/newMetrics';
import computeRequestDigest from './computeRequestDigest.js';
import TruncatedAnswer from './TruncatedAnswer.js';
import UpstreamClient from './UpstreamClient.js';
import type { UpstreamAnswer, UpstreamOutcome, UpstreamRequest } from './UpstreamClient.js';
import { getIncarnationKey } from './upstreamEntry.js';
import type { UpstreamEntry } from './upstreamEntry.js';

/** Number of requests whose broken runs are remembered; the oldest is forgotten first. */
const MAX_REQUESTS = 1_024;

export interface ObservedClientOptions {
  log: EventLog;
  metrics: Metrics;
  client: UpstreamClient;
}

/** Logs and counts the runs that upstreams break off, with what is known of the same request. */
const newObservedClient = ({ log, metrics, client }: ObservedClientOptions): UpstreamClient => {
  /** By a request's digest: the upstreams that ended while they ran it. */
  const endedUpstreams = new Map<string, Set<string>>();

  const addEnded = (digest: string, upstream: string): Set<string> => {
    const upstreams = endedUpstreams.get(digest) ?? new Set<string>();
    upstreams.add(upstream);
    endedUpstreams.set(digest, upstreams);
    const [oldest] = endedUpstreams.keys();
    if (endedUpstreams.size > MAX_REQUESTS && oldest) endedUpstreams.delete(oldest);
    return upstreams;
  };

  const observeBreak = async (
    entry: UpstreamEntry,
    request: UpstreamRequest,
    reason: string,
  ): Promise<void> => {
    const hasEnded = await client.hasEnded(entry);
    const digest = computeRequestDigest(request);
    const upstreams = hasEnded
      ? addEnded(digest, getIncarnationKey(entry))
      : endedUpstreams.get(digest);
    metrics.count('upstream_runs_broken_off');
    if (hasEnded) metrics.count('upstream_ends_during_run');
    log.warn('run.broken-off', {
      requestId: request.requestId,
      digest,
      upstream: entry.id,
      reason,
      hasEnded,
      endedUpstreams: [...(upstreams ?? [])],
    });
  };

  async function* observeBody(
    { body }: UpstreamAnswer,
    onBreak: (reason: string) => void,
  ): AsyncGenerator<Buffer> {
    try {
      yield* body;
    } catch (error) {
      if (error instanceof TruncatedAnswer) onBreak(error.message);
      throw error;
    }
  }

  class ObservedClient extends UpstreamClient {
    async send(
      entry: UpstreamEntry,
      request: UpstreamRequest,
      firstByteDeadline: number,
      signal: AbortSignal,
    ): Promise<UpstreamOutcome> {
      const outcome = await client.send(entry, request, firstByteDeadline, signal);
      const onBreak = (reason: string): void => {
        if (!signal.aborted) observeBreak(entry, request, reason);
      };
      if (outcome.type === 'fault') {
        if (outcome.fault.type === 'unknown') onBreak(outcome.fault.reason);
        return outcome;
      }
      const { answer } = outcome;
      return { type: 'answer', answer: { ...answer, body: observeBody(answer, onBreak) } };
    }

    isConnected(entry: UpstreamEntry): boolean {
      return client.isConnected(entry);
    }

    hasEnded(entry: UpstreamEntry): Promise<boolean> {
      return client.hasEnded(entry);
    }

    closeConnections(entry: UpstreamEntry): void {
      client.closeConnections(entry);
    }
  }
  return new ObservedClient();
};

export default newObservedClient;
