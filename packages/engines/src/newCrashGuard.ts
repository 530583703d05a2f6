import type Clock from '@cyclamengate/common/Clock';
import type { EventLog } from '@cyclamengate/common/newEventLog';
import type { Metrics } from '@cyclamengate/common/newMetrics';
import computeCrashWeight from './computeCrashWeight.js';
import computeRequestDigest from './computeRequestDigest.js';
import DelegatingUpstreamClient from './DelegatingUpstreamClient.js';
import type { CrashHistory } from './newCrashHistory.js';
import type { Directory } from './newDirectory.js';
import newRunGroups from './newRunGroups.js';
import TruncatedAnswer from './TruncatedAnswer.js';
import type UpstreamClient from './UpstreamClient.js';
import type { UpstreamAnswer, UpstreamOutcome, UpstreamRequest } from './UpstreamClient.js';
import type { UpstreamCrash } from './upstreamCrash.js';
import { getIncarnationKey, isSameIncarnation } from './upstreamEntry.js';
import type { UpstreamEntry } from './upstreamEntry.js';

/** An upstream that is started again at once is listed within this time of its crash. */
const SUCCESSOR_WAIT_MS = 5_000;
const MAX_UNEXPLAINED_BREAKS = 256;
/** Among more upstreams than this another one is most likely up, and is not probed. */
const MAX_PROBED_UPSTREAMS = 3;
/** For how long after a crash its request is kept from the last upstream; most are back by then. */
const LAST_UPSTREAM_HOLD_MS = 5_000;
const LAST_UPSTREAM_RETRY_MS = 1_000;

/** Agrees with other hosts on who tries a request whose hold has ended. */
export interface Trials {
  /** @returns null if this host may try the request now, otherwise for how long it waits, in ms */
  claim: (digest: string, crashes: UpstreamCrash[]) => Promise<number | null>;
  /** Takes a claim back whose run did not reach an upstream. */
  cancel: (digest: string) => void;
}

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
  crash: UpstreamCrash;
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

  const identify = (service: string, request: UpstreamRequest): string =>
    computeRequestDigest(service, request, findPrompt(request.headers));

  directory.onRemoved((entry) => runGroups.remove(getIncarnationKey(entry)));
  directory.onListed((successor) => {
    unexplainedBreaks = unexplainedBreaks.filter(({ deadline }) => clock.now() < deadline);
    unexplainedBreaks
      .filter(({ entry }) => entry.host === successor.host && entry.port === successor.port)
      .filter(({ entry }) => getIncarnationKey(entry) !== getIncarnationKey(successor))
      .forEach(({ crash }) => history.add(crash));
  });

  const isStaying = (entry: UpstreamEntry): boolean => {
    const listed = directory.find(entry.id);
    return listed !== undefined && !listed.isDraining && isSameIncarnation(listed, entry);
  };

  const recordBreak = async (run: BrokenRun): Promise<void> => {
    const { entry, request, reason, startedAt, receivedBytes } = run;
    const ranForMs = Math.round(clock.now() - startedAt);
    const wasStaying = isStaying(entry);
    const digest = identify(entry.service, request);
    const upstream = getIncarnationKey(entry);
    const runsThere = runGroups.countBroken(upstream);
    const hasGivenText = receivedBytes > 0 || request.lastEventId !== null;
    const weight = computeCrashWeight(hasGivenText, runsThere);
    const crash = { digest, upstream, endedAt: clock.wallTime(), weight };
    const hasEnded = await client.hasEnded(entry);
    if (hasEnded) options.onEnded(entry);
    if (wasStaying && hasEnded) history.add(crash);
    if (wasStaying && !hasEnded) {
      const deadline = clock.now() + SUCCESSOR_WAIT_MS;
      unexplainedBreaks = [...unexplainedBreaks, { crash, entry, deadline }].slice(
        -MAX_UNEXPLAINED_BREAKS,
      );
    }
    metrics.count('upstream_runs_broken_off');
    if (hasEnded) metrics.count('upstream_ends_during_run');
    log.warn('run.broken-off', {
      requestId: request.requestId,
      digest,
      customer: request.customer,
      path: request.path,
      upstream: entry.id,
      service: entry.service,
      reason,
      receivedBytes,
      ranForMs,
      runsThere,
      weight,
      hasEnded,
      wasStaying,
      endedUpstreams: history.upstreamsOf(digest),
    });
  };

  const recordAnswer = (entry: UpstreamEntry, request: UpstreamRequest): void => {
    if (history.size() > 0) history.recordAnswer(identify(entry.service, request));
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

  /** Whether another upstream of the service than this one can take requests. */
  const hasOtherUpstream = async ({ id, service }: UpstreamEntry): Promise<boolean> => {
    const others = directory.all(service).filter((other) => other.id !== id && !other.isDraining);
    if (others.length > MAX_PROBED_UPSTREAMS) return true;
    const haveEnded = await Promise.all(others.map((other) => client.hasEnded(other)));
    return haveEnded.includes(false);
  };

  /** Whether a request that ended an upstream a moment ago would now run on the last one. */
  const wouldRiskLast = async (entry: UpstreamEntry, digest: string): Promise<boolean> => {
    const crashedAt = history.lastCrashAt(digest) ?? -Infinity;
    if (!history.isSuspect(digest) || clock.now() >= crashedAt + LAST_UPSTREAM_HOLD_MS)
      return false;
    return !(await hasOtherUpstream(entry));
  };

  /**
   * Starts a run of a request that ended upstreams, unless it is held.
   * @returns when it may run, on the monotonic clock; null if it may run now
   */
  const startSuspect = async (entry: UpstreamEntry, digest: string): Promise<number | null> => {
    const heldUntil = history.heldUntil(digest);
    if (heldUntil !== null) return heldUntil;
    if (await wouldRiskLast(entry, digest)) return clock.now() + LAST_UPSTREAM_RETRY_MS;
    const retryAt = history.start(digest);
    if (retryAt !== null || !history.isOnTrial(digest)) return retryAt;
    const waitMs = await trials.claim(digest, history.crashesOf(digest));
    if (waitMs === null) return null;
    history.cancelStart(digest);
    return clock.now() + waitMs;
  };

  const cancelStart = (digest: string): void => {
    if (history.isOnTrial(digest)) trials.cancel(digest);
    history.cancelStart(digest);
  };

  const hold = (request: UpstreamRequest, digest: string, retryAt: number): UpstreamOutcome => {
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
      const digest = history.size() === 0 ? null : identify(entry.service, request);
      const retryAt = digest === null ? null : await startSuspect(entry, digest);
      if (digest !== null && retryAt !== null) return hold(request, digest, retryAt);
      const startedAt = clock.now();
      runGroups.begin(getIncarnationKey(entry));
      const outcome = await super.send(entry, request, firstByteDeadline, signal);
      if (outcome.type === 'answer') {
        const body = readBody(outcome.answer, entry, request, startedAt, signal);
        return { type: 'answer', answer: { ...outcome.answer, body } };
      }
      const { fault } = outcome;
      if (fault.type === 'not-run' && digest !== null) cancelStart(digest);
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
      return history.size() === 0 ? null : history.heldUntil(identify(service, request));
    }
  }
  return new GuardedClient(client);
};

export default newCrashGuard;
