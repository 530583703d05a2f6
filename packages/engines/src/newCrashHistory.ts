import type Clock from '@cyclamengate/common/Clock';
import computeHoldMs from './computeHoldMs.js';
import type { RequestWork, UpstreamCrash } from './upstreamCrash.js';

/** A request that ended upstreams may come again for minutes. */
const RETENTION_MS = 900_000;
const SUSPECT_WEIGHT = 1;
/** Number of requests that are remembered; the oldest is forgotten first. */
const MAX_REQUESTS = 1_024;
/** Many times the crashes after which a request is not tried again. */
const MAX_CRASHES_PER_REQUEST = 64;

/** How long a request may be held at most, in milliseconds. */
interface HoldLimit {
  afterCrashMs: number;
  /** After the start of a run that is tried after a hold. */
  afterTrialMs: number;
}

/**
 * Upstreams that end beside each other take sound items with them, time and again, and an item is owed
 * whatever ended under it: it has to run within 5 s of calm, also as one of a group with one prompt.
 * Its score is owed as well, and calls take milliseconds.
 */
const HOLD_LIMITS: Record<RequestWork, HoldLimit> = {
  call: { afterCrashMs: RETENTION_MS, afterTrialMs: RETENTION_MS },
  item: { afterCrashMs: 4_000, afterTrialMs: 250 },
  scoring: { afterCrashMs: 5_000, afterTrialMs: 5_000 },
};

interface RememberedCrash {
  crash: UpstreamCrash;
  /** On the monotonic clock. */
  endedAt: number;
}

interface RequestHistory {
  /**
   * By incarnation of the upstream, so that a crash that is reported twice counts once, by its
   * greater weight.
   */
  crashes: Map<string, RememberedCrash>;
  /** When the request last started after a hold, on the monotonic clock. */
  lastTrialAt: number;
}

/**
 * Remembers which requests ran on upstreams that ended, as seen by all hosts, and holds back those
 * that keep ending them. A request that is answered is forgotten.
 */
const newCrashHistory = (clock: Clock) => {
  const histories = new Map<string, RequestHistory>();
  const addedListeners: ((crash: UpstreamCrash) => void)[] = [];
  const answeredListeners: ((crashes: UpstreamCrash[]) => void)[] = [];

  const remember = (crash: UpstreamCrash): RememberedCrash => {
    // A clock that is ahead must not extend the hold.
    const ageMs = Math.max(0, clock.wallTime() - crash.endedAt);
    return { crash, endedAt: clock.now() - ageMs };
  };

  /** No clock is ahead by so much; such a crash would hold a request at every new host for good. */
  const isFromFuture = ({ endedAt }: UpstreamCrash): boolean =>
    endedAt > clock.wallTime() + RETENTION_MS;

  const isExpired = ({ crash, endedAt }: RememberedCrash): boolean =>
    clock.now() >= endedAt + RETENTION_MS || isFromFuture(crash);

  const remove = (digest: string, upstream: string): void => {
    const history = histories.get(digest);
    history?.crashes.delete(upstream);
    if (history?.crashes.size === 0) histories.delete(digest);
  };

  const sumWeights = ({ crashes }: RequestHistory): number =>
    [...crashes.values()].reduce((sum, { crash }) => sum + crash.weight, 0);

  const findLastCrashAt = ({ crashes }: RequestHistory): number =>
    Math.max(...[...crashes.values()].map(({ endedAt }) => endedAt));

  const removeOldest = (): void => {
    const [oldest] = histories.keys();
    if (histories.size > MAX_REQUESTS && oldest !== undefined) histories.delete(oldest);
  };

  const computeHistoryHoldMs = (history: RequestHistory): number =>
    computeHoldMs(sumWeights(history), history.crashes.size);

  const findLimit = ({ crashes }: RequestHistory): HoldLimit => {
    const [first] = crashes.values();
    return HOLD_LIMITS[first?.crash.work ?? 'call'];
  };

  const findHeldUntil = (history: RequestHistory): number => {
    const holdMs = computeHistoryHoldMs(history);
    const { afterCrashMs, afterTrialMs } = findLimit(history);
    return Math.max(
      history.lastTrialAt + Math.min(holdMs, afterTrialMs),
      findLastCrashAt(history) + Math.min(holdMs, afterCrashMs),
    );
  };

  const listCrashes = (): RememberedCrash[] =>
    [...histories.values()].flatMap(({ crashes }) => [...crashes.values()]);

  /** @returns whether the crash is new to this host */
  const merge = (crash: UpstreamCrash): boolean => {
    const remembered = remember(crash);
    const history = histories.get(crash.digest);
    const known = history?.crashes.get(crash.upstream)?.crash;
    const isKnown = known !== undefined && known.weight >= crash.weight;
    if (isKnown || isExpired(remembered)) return false;
    if (known === undefined && (history?.crashes.size ?? 0) >= MAX_CRASHES_PER_REQUEST)
      return false;
    const crashes = new Map([...(history?.crashes ?? []), [crash.upstream, remembered]]);
    // Deleted first, so that it becomes the newest entry.
    histories.delete(crash.digest);
    histories.set(crash.digest, { crashes, lastTrialAt: history?.lastTrialAt ?? -Infinity });
    removeOldest();
    return true;
  };

  return {
    /** Adds a crash that another host has seen; @returns whether it is new to this host. */
    merge,
    /** Adds a crash that this host has seen. */
    add: (crash: UpstreamCrash): void => {
      if (merge(crash)) addedListeners.forEach((listener) => listener(crash));
    },
    remove,
    /** Forgets the crashes of a request that an upstream has answered to this host. */
    recordAnswer: (digest: string): void => {
      const crashes = [...(histories.get(digest)?.crashes.values() ?? [])];
      if (crashes.length === 0) return;
      histories.delete(digest);
      const forgotten = crashes.map(({ crash }) => crash);
      answeredListeners.forEach((listener) => listener(forgotten));
    },
    /** Called with each crash that this host has seen first. */
    onAdded: (listener: (crash: UpstreamCrash) => void): void => {
      addedListeners.push(listener);
    },
    /** Called with the crashes of a request that has been answered to this host. */
    onAnswered: (listener: (crashes: UpstreamCrash[]) => void): void => {
      answeredListeners.push(listener);
    },
    /** Whether a crash is said to happen later than any clock says that it is. */
    isFromFuture,
    /** Whether a crash is too old to be remembered. */
    isExpired: (crash: UpstreamCrash): boolean => isExpired(remember(crash)),
    /** Forgets the crashes that are too old. */
    forgetExpired: (): void =>
      listCrashes()
        .filter(isExpired)
        .forEach(({ crash }) => remove(crash.digest, crash.upstream)),
    /**
     * Starts a run of a request unless it is held. One run at a time is tried after a hold.
     * @returns when the request may run, on the monotonic clock; null if it may run now
     */
    start: (digest: string): number | null => {
      const history = histories.get(digest);
      if (!history) return null;
      const heldUntil = findHeldUntil(history);
      if (clock.now() < heldUntil) return heldUntil;
      history.lastTrialAt = clock.now();
      return null;
    },
    /** When a request may run, on the monotonic clock; null if it may run now. */
    heldUntil: (digest: string): number | null => {
      const history = histories.get(digest);
      const heldUntil = history ? findHeldUntil(history) : -Infinity;
      return clock.now() < heldUntil ? heldUntil : null;
    },
    /** Whether the request is likely enough the cause of a crash to be kept from the last upstream. */
    isSuspect: (digest: string): boolean =>
      [...(histories.get(digest)?.crashes.values() ?? [])].some(
        ({ crash }) => crash.weight >= SUSPECT_WEIGHT,
      ),
    /** Whether the request has been held, so that its next run is a trial. */
    isOnTrial: (digest: string): boolean => {
      const history = histories.get(digest);
      return history !== undefined && computeHistoryHoldMs(history) > 0;
    },
    /** When an upstream last ended under a request, on the monotonic clock; null if none has. */
    lastCrashAt: (digest: string): number | null => {
      const history = histories.get(digest);
      return history ? findLastCrashAt(history) : null;
    },
    /** Takes a start back that did not reach an upstream. */
    cancelStart: (digest: string): void => {
      const history = histories.get(digest);
      if (history) history.lastTrialAt = -Infinity;
    },
    /** The crashes of one request. */
    crashesOf: (digest: string): UpstreamCrash[] =>
      [...(histories.get(digest)?.crashes.values() ?? [])].map(({ crash }) => crash),
    /** Incarnations of the upstreams that ended under a request. */
    upstreamsOf: (digest: string): string[] => [...(histories.get(digest)?.crashes.keys() ?? [])],
    size: (): number => histories.size,
    /** The crashes of the requests that were added last. */
    newest: (limit: number): UpstreamCrash[] =>
      listCrashes()
        .slice(-limit)
        .map(({ crash }) => crash),
  };
};

export type CrashHistory = ReturnType<typeof newCrashHistory>;

export default newCrashHistory;
