/** The wanted number of upstreams of one service and kind in one failure domain. */
export interface ScaleOrder {
  service: string;
  failureDomain: string;
  wanted: number;
  /** Upstreams at the lower price, which may be reclaimed. */
  isSpot: boolean;
  holder: string;
  fencingToken: number;
}

/** What the platform said to an order; `unknown` may have been taken. */
export type OrderOutcome = 'taken' | 'none-available' | 'refused' | 'unknown';

/** The platform's interface for starting and stopping upstreams. */
export default abstract class UpstreamOrders {
  /** @param signal ends the call, and resets its connection so that unsent bytes are dropped */
  abstract place(order: ScaleOrder, signal: AbortSignal): Promise<OrderOutcome>;
}
