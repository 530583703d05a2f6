import type Clock from '@cyclamengate/common/Clock';
import type { EventLog } from '@cyclamengate/common/newEventLog';
import type { Metrics } from '@cyclamengate/common/newMetrics';
import computeCrashWeight from './computeCrashWeight.js';
import identifyRequest from './identifyRequest.js';
import type { RequestIdentity } from './identifyRequest.js';
import newAnsweredPaths from './newAnsweredPaths.js';
import DelegatingUpstreamClient from './DelegatingUpstreamClient.js';
import type { CrashHistory } from './newCrashHistory.js';
import type { Directory } from './newDirectory.js';
import newRunGroups from './newRunGroups.js';
import newSuspectGate from './newSuspectGate.js';
import type { Hold, Trials } from './newSuspectGate.js';
import TruncatedAnswer from './TruncatedAnswer.js';
import type UpstreamClient from './UpstreamClient.js';
import type { UpstreamAnswer, UpstreamOutcome, UpstreamRequest } from './UpstreamClient.js';
import type { UpstreamCrash } from './upstreamCrash.js';
import { getIncarnationKey, isSameIncarnation } from './upstreamEntry.js';
import type { UpstreamEntry } from './upstreamEntry.js';

/** An upstream that is started again at once is listed within this time of its crash. */
const SUCCESSOR_WAIT_MS = 5_000;
const MAX_UNEXPLAINED_BREAKS = 256;
/** Requests that share a path may be innocent: it takes three ends to hold all of them. */
const PATH_FACTOR = 0.7;
const ANSWERED_PATH_FACTOR = 0.5;
export interface CrashGuardOptions {
  clock: Clock;
  log: EventLog;
  metrics: Metrics;
  client: UpstreamClient;
  directory: Pick<Directory, 'all' | 'find' | 'onListed' | 'onRemoved'>;
  history: CrashHistory;
  /** Identifies the prompt that a request's headers name; null if they name none. */
  findPrompt: (headers: Record<string, string>) => string | null;
  trials: Trials;
  /** Called when an upstream has ended while this host's request was running on it. */
  onEnded: (entry: UpstreamEntry) => void;
}

/** A run that its upstream broke off. */
interface BrokenRun {
  entry: UpstreamEntry;
  request: UpstreamRequest;
  reason: string;
  /** On the monotonic clock. */
  startedAt: number;
  /** Bytes of the answer's body that arrived. */
  receivedBytes: number;
}

/** A run that an upstream broke off while its address still accepted connections. */
interface UnexplainedBreak {
  crashes: UpstreamCrash[];
  entry: UpstreamEntry;
  deadline: number;
}

/**
 * Holds back requests that crash the upstreams that run them, whatever sends them: callers'
 * requests, streams, items and scoring calls.
 *
 * Without it one request takes down a whole service: it is retried on the next upstream, and its
 * caller sends it again to any host. A broken connection alone is no evidence, since answers are
 * lost and connections are reset for other reasons. An upstream counts as crashed under a request
 * if its address refuses connections right after, or if a successor is listed at its address soon,
 * and if it was not leaving.
 */
const newCrashGuard = (options: CrashGuardOptions): UpstreamClient => {
  const { clock, log, metrics, client, directory, history, findPrompt, trials } = options;
  const runGroups = newRunGroups(clock);
  let unexplainedBreaks: UnexplainedBreak[] = [];

  const answeredPaths = newAnsweredPaths(clock);
  const gate = newSuspectGate({ clock, client, directory, history, trials });

  const identify = (service: string, request: UpstreamRequest): RequestIdentity =>
    identifyRequest(service, request, findPrompt(request.headers));

  /** Most requests are sent while no crashes are remembered, and need no digests. */
  const identifySuspect = (service: string, request: UpstreamRequest): RequestIdentity | null =>
    history.size() === 0 ? null : identify(service, request);

  directory.onRemoved((entry) => runGroups.remove(getIncarnationKey(entry)));
  directory.onListed((successor) => {
    unexplainedBreaks = unexplainedBreaks.filter(({ deadline }) => clock.now() < deadline);
    unexplainedBreaks
      .filter(({ entry }) => entry.host === successor.host && entry.port === successor.port)
      .filter(({ entry }) => getIncarnationKey(entry) !== getIncarnationKey(successor))
      .forEach(({ crashes }) => crashes.forEach(history.add));
  });

  const isStaying = (entry: UpstreamEntry): boolean => {
    const listed = directory.find(entry.id);
    return listed !== undefined && !listed.isDraining && isSameIncarnation(listed, entry);
  };

  const recordBreak = async (run: BrokenRun): Promise<void> => {
    const { entry, request, reason, startedAt, receivedBytes } = run;
    const ranForMs = Math.round(clock.now() - startedAt);
    const wasStaying = isStaying(entry);
    const { content: digest, path: pathDigest } = identify(entry.service, request);
    const upstream = getIncarnationKey(entry);
    const runsThere = runGroups.countBroken(upstream);
    const hasGivenText = receivedBytes > 0 || request.lastEventId !== null;
    const weight = computeCrashWeight(hasGivenText, runsThere);
    // A path that others get answers on is hardly the cause, and they must not be held for it.
    const isAnswered = answeredPaths.has(entry.service, request);
    const pathWeight = weight * (isAnswered ? ANSWERED_PATH_FACTOR : PATH_FACTOR);
    const { work = 'call' } = request;
    const crash = { upstream, endedAt: clock.wallTime(), work };
    const ofContent = { ...crash, digest, weight };
    const ofPath = { ...crash, digest: pathDigest, weight: pathWeight };
    // No item is held for others of its path.
    const crashes = work === 'item' ? [ofContent] : [ofContent, ofPath];
    const hasEnded = await client.hasEnded(entry);
    if (hasEnded) options.onEnded(entry);
    if (wasStaying && hasEnded) crashes.forEach(history.add);
    if (wasStaying && !hasEnded) {
      const deadline = clock.now() + SUCCESSOR_WAIT_MS;
      unexplainedBreaks = [...unexplainedBreaks, { crashes, entry, deadline }].slice(
        -MAX_UNEXPLAINED_BREAKS,
      );
    }
    metrics.count('upstream_runs_broken_off');
    if (hasEnded) metrics.count('upstream_ends_during_run');
    log.warn('run.broken-off', {
      requestId: request.requestId,
      digest,
      pathDigest,
      customer: request.customer,
      path: request.path,
      upstream: entry.id,
      service: entry.service,
      reason,
      receivedBytes,
      ranForMs,
      runsThere,
      weight,
      pathWeight,
      hasEnded,
      wasStaying,
      endedUpstreams: history.upstreamsOf(digest),
    });
  };

  const recordAnswer = (entry: UpstreamEntry, request: UpstreamRequest): void => {
    answeredPaths.add(entry.service, request);
    const identity = identifySuspect(entry.service, request);
    if (identity) [identity.content, identity.path].forEach(history.recordAnswer);
  };

  async function* readBody(
    { body }: UpstreamAnswer,
    entry: UpstreamEntry,
    request: UpstreamRequest,
    startedAt: number,
    signal: AbortSignal,
  ): AsyncGenerator<Buffer> {
    let receivedBytes = 0;
    try {
      for await (const chunk of body) {
        receivedBytes += chunk.length;
        yield chunk;
      }
    } catch (error) {
      if (error instanceof TruncatedAnswer && !signal.aborted) {
        await recordBreak({ entry, request, reason: error.message, startedAt, receivedBytes });
      }
      throw error;
    } finally {
      runGroups.end(getIncarnationKey(entry));
    }
    recordAnswer(entry, request);
  }

  const refuseHeld = (request: UpstreamRequest, { digest, retryAt }: Hold): UpstreamOutcome => {
    metrics.count('requests_held');
    log.warn('request.held', {
      requestId: request.requestId,
      digest,
      endedUpstreams: history.upstreamsOf(digest),
      heldForMs: Math.round(retryAt - clock.now()),
    });
    return { type: 'fault', fault: { type: 'held', retryAt } };
  };

  class GuardedClient extends DelegatingUpstreamClient {
    override async send(
      entry: UpstreamEntry,
      request: UpstreamRequest,
      firstByteDeadline: number,
      signal: AbortSignal,
    ): Promise<UpstreamOutcome> {
      const identity = identifySuspect(entry.service, request);
      const held = identity && (await gate.start(entry, identity, request.work));
      if (held) return refuseHeld(request, held);
      const startedAt = clock.now();
      runGroups.begin(getIncarnationKey(entry));
      const outcome = await super.send(entry, request, firstByteDeadline, signal);
      if (outcome.type === 'answer') {
        const body = readBody(outcome.answer, entry, request, startedAt, signal);
        return { type: 'answer', answer: { ...outcome.answer, body } };
      }
      const { fault } = outcome;
      if (fault.type === 'not-run' && identity) gate.cancel(identity);
      if (fault.type === 'unknown' && !signal.aborted) {
        // The caller retries after a broken connection at once, and has to know of the crash then. A
        // silent upstream has already cost the whole timeout.
        const { reason } = fault;
        const recorded = recordBreak({ entry, request, reason, startedAt, receivedBytes: 0 });
        if (clock.now() < firstByteDeadline) await recorded;
      }
      runGroups.end(getIncarnationKey(entry));
      return outcome;
    }

    override heldUntil(service: string, request: UpstreamRequest): number | null {
      const identity = identifySuspect(service, request);
      const holds = identity
        ? [identity.content, identity.path].flatMap((digest) => history.heldUntil(digest) ?? [])
        : [];
      return holds.length === 0 ? null : Math.max(...holds);
    }
  }
  return new GuardedClient(client);
};

export default newCrashGuard;
