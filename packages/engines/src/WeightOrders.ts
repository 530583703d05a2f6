import type { UpstreamEntry } from './upstreamEntry.js';

/** An order for an engine to load a version of a model's weights. */
export interface WeightOrder {
  entry: UpstreamEntry;
  model: string;
  version: number;
  /** Orders the engine had accepted when this one was decided; refused at any other count. */
  afterOrders: number;
  /** Runs in progress finish on the old version before the load, not switch to the new one. */
  mustWaitForRuns: boolean;
  holder: string;
  fencingToken: number;
}

export type WeightOrderOutcome =
  | 'accepted'
  /** The engine already holds that version. */
  | 'holds'
  /** Another order is being carried out, or the engine has accepted one in the meantime. */
  | 'conflict'
  | 'refused'
  /** No answer: the order may still be carried out, even seconds later. */
  | 'unknown';

/** Sends engines orders to load weights. */
export default abstract class WeightOrders {
  /** Number of orders an engine has accepted since its start; null if it could not be read. */
  abstract countAccepted(entry: UpstreamEntry, signal: AbortSignal): Promise<number | null>;

  /** @param signal aborts the call and resets its connection, so that unsent bytes are dropped */
  abstract place(order: WeightOrder, signal: AbortSignal): Promise<WeightOrderOutcome>;
}
