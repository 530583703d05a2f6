import type { Result } from '@cyclamengate/common/outcome';
import type { EndEvent, Generation, TokenEvent } from './generation.js';
import type { EngineStatus } from './engineStatus.js';
import type { UpstreamFault } from './upstreamFault.js';
import type { WeightOrder } from './weightOrder.js';

/** How the system talks to one kind of model engine. */
export default abstract class ModelEngine {
  /**
   * Runs a generation and hands over its tokens one by one, in order, without a hole.
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
   * Orders a version of a trainer's weights; the answer is the status after taking the order.
   * @param isStillHeld asked again in the moment of writing; without its yes nothing is ordered
   */
  abstract orderWeights(
    url: string,
    order: WeightOrder,
    isStillHeld: () => boolean,
  ): Promise<Result<EngineStatus, UpstreamFault>>;
}
