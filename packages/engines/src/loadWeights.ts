import type Clock from '@cyclamengate/common/Clock';
import type { EventLog } from '@cyclamengate/common/newEventLog';
import type { UpstreamEntry } from './upstreamEntry.js';
import { getIncarnationKey, getLoadedVersion } from './upstreamEntry.js';
import type WeightOrders from './WeightOrders.js';

const CHECK_INTERVAL_MS = 100;
/** Used while this host does not hold the lease and only checks whether it has acquired it. */
const IDLE_CHECK_INTERVAL_MS = 300;
const ORDER_TIMEOUT_MS = 700;
/** A load takes 0.9 s, more while many engines load; the engine's entry shows it 1.2 s later. */
const LOAD_TIMEOUT_MS = 2_200;
/**
 * Delay before a new order after one that got no answer, which may be carried out up to 12 s later
 * but usually never is.
 */
const UNKNOWN_OUTCOME_DELAY_MS = 1_500;

/** An engine that lacks the newest version of a model that is assigned to it. */
export interface DueLoad {
  entry: UpstreamEntry;
  model: string;
  version: number;
  mustWaitForRuns: boolean;
}

export interface LoadWeightsOptions {
  clock: Clock;
  log: EventLog;
  host: string;
  orders: WeightOrders;
  /**
   * The lease for the engines of this host's failure domain, or null unless this host holds it for
   * at least `reserveMs` more.
   */
  getLease: (reserveMs: number) => { token: number } | null;
  /** Loads that are due, most urgent first. */
  findDue: () => DueLoad[];
  /** The current entry of an engine. */
  findEngine: (id: string) => UpstreamEntry | undefined;
  /** Maximum number of engines of this failure domain that may load at the same time. */
  maxConcurrentLoads: () => number;
}

/** Both may be minus infinity. */
const compareTimes = (left: number, right: number): number =>
  Number(left > right) - Number(left < right);

interface PendingLoad {
  model: string;
  version: number;
  deadline: number;
}

/**
 * Orders engines to load the newest weights while this host holds the lease, at most
 * `maxConcurrentLoads` at a time.
 *
 * Engines may not check the fencing token, and an order whose answer was lost can be carried out
 * seconds later, after a newer one. Each order therefore carries the number of orders that the
 * engine had accepted when the order was decided: once a newer order is accepted, the late one is
 * refused.
 */
const loadWeights = async (options: LoadWeightsOptions, signal: AbortSignal): Promise<void> => {
  const { clock, log, host, orders, getLease, findDue, findEngine, maxConcurrentLoads } = options;
  const pendingLoads = new Map<string, PendingLoad>();
  const acceptedCounts = new Map<string, number>();
  /** When the last order to an engine failed, by its id, on the monotonic clock. */
  const failedAt = new Map<string, number>();

  const isFinished = (id: string, load: PendingLoad): boolean => {
    const entry = findEngine(id);
    const isLoaded = entry !== undefined && getLoadedVersion(entry, load.model) >= load.version;
    return !entry || isLoaded || clock.now() >= load.deadline;
  };

  const removeFinished = (): void => {
    pendingLoads.forEach((load, id) => {
      if (isFinished(id, load)) pendingLoads.delete(id);
    });
    failedAt.forEach((_, id) => {
      if (!findEngine(id)) failedAt.delete(id);
    });
  };

  /** Asks the engine only if no count is cached, since its report lags by about 100 ms. */
  const countAcceptedOrders = async (entry: UpstreamEntry): Promise<number | null> =>
    acceptedCounts.get(getIncarnationKey(entry)) ??
    orders.countAccepted(entry, AbortSignal.timeout(ORDER_TIMEOUT_MS));

  const place = async (due: DueLoad): Promise<void> => {
    const { entry, model, version, mustWaitForRuns } = due;
    const load = { model, version, deadline: clock.now() + LOAD_TIMEOUT_MS };
    pendingLoads.set(entry.id, load);
    const afterOrders = await countAcceptedOrders(entry);
    const lease = getLease(ORDER_TIMEOUT_MS);
    if (afterOrders === null || !lease) {
      log.warn('weights.not-ordered', { upstream: entry.id, model, isHeld: lease !== null });
      failedAt.set(entry.id, clock.now());
      load.deadline = clock.now() + UNKNOWN_OUTCOME_DELAY_MS / 2;
      return;
    }
    const { token } = lease;
    const outcome = await orders.place(
      { entry, model, version, mustWaitForRuns, afterOrders, holder: host, fencingToken: token },
      AbortSignal.timeout(ORDER_TIMEOUT_MS),
    );
    log.info('weights.ordered', {
      upstream: entry.id,
      model,
      version,
      afterOrders,
      token,
      outcome,
    });
    if (outcome === 'accepted') {
      acceptedCounts.set(getIncarnationKey(entry), afterOrders + 1);
      failedAt.delete(entry.id);
      return;
    }
    // After any other outcome the cached count may be wrong, so the engine is asked again.
    acceptedCounts.delete(getIncarnationKey(entry));
    failedAt.set(entry.id, clock.now());
    load.deadline =
      clock.now() +
      (outcome === 'conflict' ? UNKNOWN_OUTCOME_DELAY_MS / 3 : UNKNOWN_OUTCOME_DELAY_MS);
  };

  /** An error in the code that places an order costs this order alone. */
  const placeSafely = async (due: DueLoad): Promise<void> => {
    const { entry, model } = due;
    try {
      await place(due);
    } catch (error) {
      log.error('weights.order-broken', {
        upstream: entry.id,
        model,
        error: (error as Error).stack,
      });
      failedAt.set(entry.id, clock.now());
    }
  };

  const failureTime = ({ entry }: DueLoad): number => failedAt.get(entry.id) ?? -Infinity;

  const startDue = (): void => {
    if (!getLease(2 * ORDER_TIMEOUT_MS)) {
      acceptedCounts.clear();
      failedAt.clear();
      return;
    }
    // An engine that answers no order must not take the turns of the others again and again.
    findDue()
      .filter(({ entry }) => !pendingLoads.has(entry.id))
      .sort((left, right) => compareTimes(failureTime(left), failureTime(right)))
      .slice(0, Math.max(0, maxConcurrentLoads() - pendingLoads.size))
      .forEach((due) => {
        if (!pendingLoads.has(due.entry.id)) void placeSafely(due);
      });
  };

  while (!signal.aborted) {
    removeFinished();
    startDue();
    const pauseMs = getLease(0) ? CHECK_INTERVAL_MS : IDLE_CHECK_INTERVAL_MS;
    await clock.sleepUntil(clock.now() + pauseMs, signal);
  }
};

export default loadWeights;
