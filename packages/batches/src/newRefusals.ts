import type Clock from '@cyclamengate/common/Clock';

/** A load takes 0.9 s; with four retries in that time, an engine is used soon after the load. */
const REFUSAL_BACKOFF_MS = 220;

/**
 * Tracks the engines that have recently refused requests for a model.
 *
 * An engine that loads a model refuses new requests for it until the load is complete, and serves
 * other models as before. Without this, all waiting items would be sent to it again and again.
 */
const newRefusals = (clock: Clock) => {
  const refusingUntil = new Map<string, number>();
  const keyOf = (upstream: string, model: string | null): string => `${upstream} ${model ?? ''}`;

  return {
    record: (upstream: string, model: string | null): void => {
      refusingUntil.set(keyOf(upstream, model), clock.now() + REFUSAL_BACKOFF_MS);
    },
    isRefusing: (upstream: string, model: string | null): boolean =>
      clock.now() < (refusingUntil.get(keyOf(upstream, model)) ?? -Infinity),
  };
};

export type Refusals = ReturnType<typeof newRefusals>;

export default newRefusals;
