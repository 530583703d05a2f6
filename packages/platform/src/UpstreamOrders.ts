import type { Result } from '@cyclamengate/common/outcome';
import type { PlatformFault } from './platformFault.js';
import type { UpstreamOrder } from './upstreamOrder.js';
import type { UpstreamStatus } from './upstreamStatus.js';

/** The platform's interface for starting and stopping upstreams, one failure domain at a time. */
export default abstract class UpstreamOrders {
  /** Reads what the platform runs in a failure domain now, without the host list's lag. */
  abstract read(failureDomain: string): Promise<Result<UpstreamStatus[], PlatformFault>>;

  /**
   * Orders an absolute number, so that the same order twice starts nothing twice.
   * @param isStillHeld asked again in the moment of writing; without its yes nothing is ordered
   */
  abstract place(
    order: UpstreamOrder,
    isStillHeld: () => boolean,
  ): Promise<Result<UpstreamStatus[], PlatformFault>>;
}
