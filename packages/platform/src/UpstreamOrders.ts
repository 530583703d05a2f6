import type { Result } from '@cyclamengate/common/outcome';
import type { PlatformFault } from './platformFault.js';
import type { UpstreamOrder } from './upstreamOrder.js';
import type { UpstreamStatus } from './upstreamStatus.js';

/** The platform's interface for starting and stopping upstreams, one failure domain at a time. */
export default abstract class UpstreamOrders {
  /**
   * Reads the upstreams that the platform runs in a failure domain, without the host list's lag.
   */
  abstract read(failureDomain: string): Promise<Result<UpstreamStatus[], PlatformFault>>;

  /**
   * Orders an absolute number of upstreams, so that repeating an order starts no additional ones.
   * @param isStillHeld checked again when the order is written; if false, nothing is ordered
   */
  abstract place(
    order: UpstreamOrder,
    isStillHeld: () => boolean,
  ): Promise<Result<UpstreamStatus[], PlatformFault>>;
}
