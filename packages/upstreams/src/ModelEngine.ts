import type { Result } from '@cyclamengate/common/outcome';
import type { EndEvent, Generation, TokenEvent } from './generation.js';
import type { EngineStatus } from './engineStatus.js';
import type { UpstreamFault } from './upstreamFault.js';
import type { WeightOrder } from './weightOrder.js';

/** Client interface of model engines. */
export default abstract class ModelEngine {
  /**
   * Runs a generation and passes on its tokens one by one, in order and without gaps.
   * @param onToken awaited before the next token is read
   */
  abstract generate(
    url: string,
    generation: Generation,
    onToken: (token: TokenEvent) => Promise<void>,
    signal: AbortSignal,
  ): Promise<Result<EndEvent, UpstreamFault>>;

  abstract readStatus(url: string): Promise<Result<EngineStatus, UpstreamFault>>;

  /**
   * Orders a version of a trainer's weights.
   * @param isStillHeld checked again when the order is written; if false, nothing is ordered
   * @returns the engine's status after it accepted the order
   */
  abstract orderWeights(
    url: string,
    order: WeightOrder,
    isStillHeld: () => boolean,
  ): Promise<Result<EngineStatus, UpstreamFault>>;
}
