/** The desired number of upstreams of one service and price class in one failure domain. */
export interface ScaleOrder {
  service: string;
  failureDomain: string;
  wanted: number;
  /** Whether spot upstreams are ordered, which cost less and may be reclaimed. */
  isSpot: boolean;
  holder: string;
  fencingToken: number;
}

/** The platform's reply to an order; on `unknown` the order may still have been accepted. */
export type OrderOutcome = 'taken' | 'none-available' | 'refused' | 'unknown';

/** The platform's interface for starting and stopping upstreams. */
export default abstract class UpstreamOrders {
  /** @param signal aborts the call and resets its connection, so that unsent bytes are dropped */
  abstract place(order: ScaleOrder, signal: AbortSignal): Promise<OrderOutcome>;
}
