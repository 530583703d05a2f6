import type Clock from '@cyclamengate/common/Clock';
import type { EventLog } from '@cyclamengate/common/newEventLog';
import newPeak from './newPeak.js';
import planScale from './planScale.js';
import type { ScaleBounds } from './planScale.js';
import type { UpstreamEntry } from './upstreamEntry.js';
import type UpstreamOrders from './UpstreamOrders.js';
import type { OrderOutcome } from './UpstreamOrders.js';

const CHECK_EVERY_MS = 500;
const ORDER_TIMEOUT_MS = 700;
/** Load is looked at over several steps, which come every four seconds: upstreams take 4 s to boot. */
const PEAK_LIFE_MS = 20_000;
/** After a reclaim none is to be had for about ten seconds; asked again now and then. */
const NO_SPOT_MS = 4_000;
/** An order that has shown no effect by then, beyond the boot itself, is given again. */
const REPEAT_MS = 4_000;

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
  /** The lease for this failure domain; what must be left of it, in ms. */
  hold: (reserveMs: number) => { token: number } | null;
  services: () => ScaledService[];
  entries: (service: string) => UpstreamEntry[];
  /** Items of batches that are open now, on all hosts. */
  openItems: (service: string) => number;
}

interface LastOrder {
  wanted: number;
  /** Until then the order is trusted to be under way. */
  deadline: number;
}

/** Orders upstreams of this host's failure domain by load, while it holds the domain's lease. */
const scaleUpstreams = async (
  options: ScaleUpstreamsOptions,
  signal: AbortSignal,
): Promise<void> => {
  const { clock, log, host, failureDomain, orders, hold, services, entries, openItems } = options;
  const peaks = new Map<string, ReturnType<typeof newPeak>>();
  const last = new Map<string, LastOrder>();
  const noSpotUntil = new Map<string, number>();

  const peakOf = (service: string): number => {
    const peak = peaks.get(service) ?? newPeak(clock, PEAK_LIFE_MS);
    peaks.set(service, peak);
    peak.note(openItems(service));
    return peak.read();
  };

  const place = async (
    { service, bootMs }: ScaledService,
    isSpot: boolean,
    wanted: number,
    running: number,
  ): Promise<OrderOutcome | null> => {
    const key = `${service} ${isSpot ? 'spot' : 'ordinary'}`;
    const before = last.get(key);
    const isUnderWay = before?.wanted === wanted && clock.now() < before.deadline;
    const held = hold(ORDER_TIMEOUT_MS);
    if (wanted === running || isUnderWay || !held) return null;
    const order = { service, failureDomain, wanted, isSpot, holder: host };
    const outcome = await orders.place(
      { ...order, fencingToken: held.token },
      AbortSignal.timeout(ORDER_TIMEOUT_MS),
    );
    const waitMs = outcome === 'taken' ? bootMs + REPEAT_MS : CHECK_EVERY_MS;
    last.set(key, { wanted, deadline: clock.now() + waitMs });
    log.info('upstreams.ordered', { ...order, running, token: held.token, outcome });
    return outcome;
  };

  const scale = async (scaled: ScaledService): Promise<void> => {
    const { service, bounds } = scaled;
    const all = entries(service);
    // Right after the start the list may still be empty, which says nothing of what runs.
    if (all.length === 0) return;
    const domains = new Set(all.map((entry) => entry.failureDomain)).size;
    const own = all.filter((entry) => entry.failureDomain === failureDomain);
    const isSpotAvailable = clock.now() >= (noSpotUntil.get(service) ?? -Infinity);
    const wanted = planScale(peakOf(service), domains, own, bounds, isSpotAvailable);
    const running = own.filter(({ isDraining }) => !isDraining);
    const ordinary = running.filter(({ isSpot }) => !isSpot).length;
    await place(scaled, false, wanted.ordinary, ordinary);
    if (!isSpotAvailable) return;
    const outcome = await place(scaled, true, wanted.spot, running.length - ordinary);
    if (outcome === 'none-available') noSpotUntil.set(service, clock.now() + NO_SPOT_MS);
  };

  while (!signal.aborted) {
    for (const scaled of services()) {
      if (hold(0)) await scale(scaled);
      else peakOf(scaled.service);
    }
    await clock.sleepUntil(clock.now() + CHECK_EVERY_MS, signal);
  }
};

export default scaleUpstreams;
