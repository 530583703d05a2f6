import type { Result } from '@cyclamengate/common/outcome';
import type { HostListing } from './hostListing.js';
import type { PlatformFault } from './platformFault.js';

/** The platform's list of live and leaving hosts and upstreams, which lags. */
export default abstract class HostList {
  abstract read(): Promise<Result<HostListing, PlatformFault>>;
}
