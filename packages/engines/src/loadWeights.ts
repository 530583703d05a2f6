import type Clock from '@cyclamengate/common/Clock';
import type { EventLog } from '@cyclamengate/common/newEventLog';
import type { UpstreamEntry } from './upstreamEntry.js';
import { versionOf } from './upstreamEntry.js';
import type WeightOrders from './WeightOrders.js';

const CHECK_EVERY_MS = 60;
const ORDER_TIMEOUT_MS = 700;
/** A load takes 0.9 s, longer while many load; the engine's entry shows it some 1.2 s later. */
const LOADING_MS = 2_200;
/** After an order without an answer: it may be carried out up to 12 s later, but mostly never. */
const UNKNOWN_MS = 1_500;

/** An engine that lacks the newest version of a model that it is to keep. */
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
  /** The lease for the engines of this host's failure domain; what must be left of it, in ms. */
  hold: (reserveMs: number) => { token: number } | null;
  /** Loads that are due, the most urgent first. */
  findDue: () => DueLoad[];
  find: (id: string) => UpstreamEntry | undefined;
  /** Engines of this failure domain that may load at the same time. */
  mostAtOnce: number;
}

interface UnderWay {
  model: string;
  version: number;
  /** Orders that the engine had accepted before this one. */
  afterOrders: number;
  deadline: number;
}

/**
 * Orders engines to load the newest weights, one after the other, while this host holds the lease.
 *
 * Engines may not check who orders, and an order whose answer was lost can be carried out seconds
 * later, over a newer one. So each order names how many orders the engine had accepted when it was
 * decided: once a newer one is accepted, the late one is refused.
 */
const loadWeights = async (options: LoadWeightsOptions, signal: AbortSignal): Promise<void> => {
  const { clock, log, host, orders, hold, findDue, find, mostAtOnce } = options;
  const underWay = new Map<string, UnderWay>();
  const accepted = new Map<string, number>();

  const isOver = (id: string, load: UnderWay): boolean => {
    const entry = find(id);
    const isDone = entry !== undefined && versionOf(entry, load.model) >= load.version;
    return !entry || isDone || clock.now() >= load.deadline;
  };

  const dropOver = (): void =>
    underWay.forEach((load, id) => {
      if (isOver(id, load)) underWay.delete(id);
    });

  /** The engine's own count, or ours where its entry lags behind an order that it accepted. */
  const ordersOf = ({ id, orders: listed }: UpstreamEntry): number =>
    Math.max(listed, accepted.get(id) ?? 0);

  const place = async (due: DueLoad, token: number): Promise<void> => {
    const { entry, model, version, mustWaitForRuns } = due;
    const afterOrders = ordersOf(entry);
    const load = { model, version, afterOrders, deadline: clock.now() + LOADING_MS };
    underWay.set(entry.id, load);
    const outcome = await orders.place(
      { entry, model, version, mustWaitForRuns, afterOrders, holder: host, fencingToken: token },
      AbortSignal.timeout(ORDER_TIMEOUT_MS),
    );
    log.info('weights.ordered', { upstream: entry.id, model, version, afterOrders, token, outcome });
    if (outcome === 'accepted') accepted.set(entry.id, afterOrders + 1);
    else if (outcome === 'unknown') load.deadline = clock.now() + UNKNOWN_MS;
    else if (outcome === 'conflict') {
      // Our count may be wrong: the entry's next one decides.
      accepted.delete(entry.id);
      load.deadline = clock.now() + UNKNOWN_MS / 2;
    } else load.deadline = clock.now() + UNKNOWN_MS;
  };

  const startDue = (): void => {
    const held = hold(ORDER_TIMEOUT_MS);
    if (!held) {
      accepted.clear();
      return;
    }
    findDue()
      .filter(({ entry }) => !underWay.has(entry.id))
      .slice(0, Math.max(0, mostAtOnce - underWay.size))
      .forEach((due) => {
        if (!underWay.has(due.entry.id)) void place(due, held.token);
      });
  };

  while (!signal.aborted) {
    dropOver();
    startDue();
    await clock.sleepUntil(clock.now() + CHECK_EVERY_MS, signal);
  }
};

export default loadWeights;
