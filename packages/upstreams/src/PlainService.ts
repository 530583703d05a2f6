import type { Result } from '@cyclamengate/common/outcome';
import type { ServiceAnswer, ServiceCall } from './serviceCall.js';
import type { UpstreamFault } from './upstreamFault.js';

/** Client interface of plain services. */
export default abstract class PlainService {
  /**
   * @param needsFreshConnection whether to open a new connection for the call, because the call
   *   must not be retried and could be lost on a connection that is open on this side only
   */
  abstract call(
    url: string,
    call: ServiceCall,
    needsFreshConnection: boolean,
    signal: AbortSignal,
  ): Promise<Result<ServiceAnswer, UpstreamFault>>;
}
