import type { UpstreamEntry } from './upstreamEntry.js';

/** An engine is to load a version of a model's weights. */
export interface WeightOrder {
  entry: UpstreamEntry;
  model: string;
  version: number;
  /** Orders that the engine had accepted when this one was decided; it refuses at another count. */
  afterOrders: number;
  /** Runs finish under the old version before the load, instead of going on under the new one. */
  mustWaitForRuns: boolean;
  holder: string;
  fencingToken: number;
}

export type WeightOrderOutcome =
  | 'accepted'
  /** The engine holds that version already. */
  | 'holds'
  /** Another order is under way, or the engine has accepted one since. */
  | 'conflict'
  | 'refused'
  /** Not answered: it may be carried out, also seconds later. */
  | 'unknown';

/** Gives engines orders to load weights. */
export default abstract class WeightOrders {
  /** How many orders an engine has accepted since its start; null when it does not say. */
  abstract countAccepted(entry: UpstreamEntry, signal: AbortSignal): Promise<number | null>;

  /** @param signal ends the call, and resets its connection so that unsent bytes are dropped */
  abstract place(order: WeightOrder, signal: AbortSignal): Promise<WeightOrderOutcome>;
}
