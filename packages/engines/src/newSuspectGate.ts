import type Clock from '@cyclamengate/common/Clock';
import type { RequestIdentity } from './identifyRequest.js';
import type { CrashHistory } from './newCrashHistory.js';
import type { Directory } from './newDirectory.js';
import type UpstreamClient from './UpstreamClient.js';
import type { RequestWork, UpstreamCrash } from './upstreamCrash.js';
import type { UpstreamEntry } from './upstreamEntry.js';

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

/** Why and until when a request is held; the time is on the monotonic clock. */
export interface Hold {
  digest: string;
  retryAt: number;
}

export interface SuspectGateOptions {
  clock: Clock;
  client: Pick<UpstreamClient, 'hasEnded'>;
  directory: Pick<Directory, 'all'>;
  history: CrashHistory;
  trials: Trials;
}

/**
 * Decides when a request under which upstreams have ended may run again: not while it is held, not on
 * the last upstream of its service, and after a hold on one host at a time.
 */
const newSuspectGate = (options: SuspectGateOptions) => {
  const { clock, client, directory, history, trials } = options;

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
    return clock.now() < crashedAt + LAST_UPSTREAM_HOLD_MS && !(await hasOtherUpstream(entry));
  };

  /** @param isRisky whether one of the upstreams that ended is reason enough to spare the last one */
  const startOne = async (
    entry: UpstreamEntry,
    digest: string,
    isRisky: boolean,
    maySpareLast = true,
  ): Promise<number | null> => {
    const heldUntil = history.heldUntil(digest);
    if (heldUntil !== null) return heldUntil;
    const isOnTrial = history.isOnTrial(digest);
    const isSparing = maySpareLast && (isRisky || isOnTrial);
    if (isSparing && (await wouldRiskLast(entry, digest))) {
      return clock.now() + LAST_UPSTREAM_RETRY_MS;
    }
    const retryAt = history.start(digest);
    if (retryAt !== null || !isOnTrial) return retryAt;
    const waitMs = await trials.claim(digest, history.crashesOf(digest));
    if (waitMs === null) return null;
    history.cancelStart(digest);
    return clock.now() + waitMs;
  };

  const cancelOne = (digest: string): void => {
    if (history.isOnTrial(digest)) trials.cancel(digest);
    history.cancelStart(digest);
  };

  return {
    /**
     * Starts a run of a request, unless it is held.
     * @returns null if it may run now, otherwise until when it is held, on the monotonic clock, and by
     * which of its digests
     */
    start: async (
      entry: UpstreamEntry,
      { content, path }: RequestIdentity,
      work: RequestWork = 'call',
    ): Promise<Hold | null> => {
      const maySpareLast = work !== 'item';
      const isRisky = history.isSuspect(content);
      const contentRetryAt = await startOne(entry, content, isRisky, maySpareLast);
      if (contentRetryAt !== null) return { digest: content, retryAt: contentRetryAt };
      // An item is owed, so it is not held for others of its path, nor kept from the last upstream.
      if (work === 'item') return null;
      // One crash says little about a path: other requests may share it.
      const pathRetryAt = await startOne(entry, path, false);
      if (pathRetryAt === null) return null;
      cancelOne(content);
      return { digest: path, retryAt: pathRetryAt };
    },
    /** Takes a start back that did not reach an upstream. */
    cancel: ({ content, path }: RequestIdentity): void => [content, path].forEach(cancelOne),
  };
};

export default newSuspectGate;
