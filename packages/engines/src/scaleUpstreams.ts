import type Clock from '@cyclamengate/common/Clock';
import type { EventLog } from '@cyclamengate/common/newEventLog';
import newSlidingMaximum from './newSlidingMaximum.js';
import planScale from './planScale.js';
import type { ScaleBounds } from './planScale.js';
import type { UpstreamEntry } from './upstreamEntry.js';
import type UpstreamOrders from './UpstreamOrders.js';
import type { OrderOutcome } from './UpstreamOrders.js';

const CHECK_INTERVAL_MS = 500;
const ORDER_TIMEOUT_MS = 700;
/** Spans several steps, which arrive every 4 s, since upstreams take 4 s to boot. */
const PEAK_WINDOW_MS = 20_000;
/** After a reclaim, no spot upstreams are available for about 10 s; they are retried this often. */
const SPOT_RETRY_DELAY_MS = 4_000;
/** An order that has had no effect this long after the boot time is repeated. */
const ORDER_REPEAT_DELAY_MS = 4_000;

/** A service whose upstreams can be ordered. */
export interface ScaledService {
  service: string;
  bounds: ScaleBounds;
  bootMs: number;
}

export interface ScaleUpstreamsOptions {
  clock: Clock;
  log: EventLog;
  host: string;
  failureDomain: string;
  orders: UpstreamOrders;
  /** The lease for this failure domain, or null unless held for at least `reserveMs` more. */
  getLease: (reserveMs: number) => { token: number } | null;
  services: () => ScaledService[];
  entries: (service: string) => UpstreamEntry[];
  /** Number of currently open items of batches, on all hosts. */
  openItems: (service: string) => number;
}

interface PlacedOrder {
  wanted: number;
  /** Until then the order is assumed to be in progress; on the monotonic clock. */
  deadline: number;
}

/** Scales the upstreams of this host's failure domain with load, while it holds the lease. */
const scaleUpstreams = async (
  options: ScaleUpstreamsOptions,
  signal: AbortSignal,
): Promise<void> => {
  const { clock, log, host, failureDomain, orders, getLease, services, entries, openItems } =
    options;
  const peaks = new Map<string, ReturnType<typeof newSlidingMaximum>>();
  const lastOrders = new Map<string, PlacedOrder>();
  const spotRetryAt = new Map<string, number>();

  const updatePeak = (service: string): number => {
    const peak = peaks.get(service) ?? newSlidingMaximum(clock, PEAK_WINDOW_MS);
    peaks.set(service, peak);
    peak.add(openItems(service));
    return peak.read();
  };

  const place = async (
    { service, bootMs }: ScaledService,
    isSpot: boolean,
    wanted: number,
    running: number,
  ): Promise<OrderOutcome | null> => {
    const key = `${service} ${isSpot ? 'spot' : 'ordinary'}`;
    const previous = lastOrders.get(key);
    const isPending = previous?.wanted === wanted && clock.now() < previous.deadline;
    const lease = getLease(ORDER_TIMEOUT_MS);
    if (wanted === running || isPending || !lease) return null;
    const order = { service, failureDomain, wanted, isSpot, holder: host };
    const outcome = await orders.place(
      { ...order, fencingToken: lease.token },
      AbortSignal.timeout(ORDER_TIMEOUT_MS),
    );
    const pendingMs = outcome === 'taken' ? bootMs + ORDER_REPEAT_DELAY_MS : CHECK_INTERVAL_MS;
    lastOrders.set(key, { wanted, deadline: clock.now() + pendingMs });
    log.info('upstreams.ordered', { ...order, running, token: lease.token, outcome });
    return outcome;
  };

  const scale = async (scaled: ScaledService): Promise<void> => {
    const { service, bounds } = scaled;
    const all = entries(service);
    // Right after the start the list may still be empty although upstreams are running.
    if (all.length === 0) return;
    const domains = new Set(all.map((entry) => entry.failureDomain)).size;
    const own = all.filter((entry) => entry.failureDomain === failureDomain);
    const isSpotAvailable = clock.now() >= (spotRetryAt.get(service) ?? -Infinity);
    const wanted = planScale(updatePeak(service), domains, own, bounds, isSpotAvailable);
    const running = own.filter(({ isDraining }) => !isDraining);
    const ordinary = running.filter(({ isSpot }) => !isSpot).length;
    await place(scaled, false, wanted.ordinary, ordinary);
    if (!isSpotAvailable) return;
    const outcome = await place(scaled, true, wanted.spot, running.length - ordinary);
    if (outcome === 'none-available') spotRetryAt.set(service, clock.now() + SPOT_RETRY_DELAY_MS);
  };

  while (!signal.aborted) {
    for (const scaled of services()) {
      if (getLease(0)) await scale(scaled);
      else updatePeak(scaled.service);
    }
    await clock.sleepUntil(clock.now() + CHECK_INTERVAL_MS, signal);
  }
};

export default scaleUpstreams;
