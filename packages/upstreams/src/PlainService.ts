import type { Result } from '@cyclamengate/common/outcome';
import type { ServiceAnswer, ServiceCall } from './serviceCall.js';
import type { UpstreamFault } from './upstreamFault.js';

/** How the system talks to plain services. */
export default abstract class PlainService {
  /**
   * @param needsProof send only on a connection that was just proven, since the call may not be
   *   repeated and must not be lost in a connection that is open on this side alone
   */
  abstract call(
    url: string,
    call: ServiceCall,
    needsProof: boolean,
    signal: AbortSignal,
  ): Promise<Result<ServiceAnswer, UpstreamFault>>;
}
