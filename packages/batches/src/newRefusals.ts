import type Clock from '@cyclamengate/common/Clock';

/** A load takes 0.9 s; asked again four times in it, an engine is used soon after its end. */
const REFUSING_MS = 220;

/**
 * Engines that have just refused requests for a model.
 *
 * An engine that loads a model refuses its new requests until the load is over, and serves other
 * models as before. Without this, all waiting items would be sent to it again and again.
 */
const newRefusals = (clock: Clock) => {
  const deadlines = new Map<string, number>();
  const keyOf = (upstream: string, model: string | null): string => `${upstream} ${model ?? ''}`;

  return {
    note: (upstream: string, model: string | null): void => {
      deadlines.set(keyOf(upstream, model), clock.now() + REFUSING_MS);
    },
    isRefusing: (upstream: string, model: string | null): boolean =>
      clock.now() < (deadlines.get(keyOf(upstream, model)) ?? -Infinity),
  };
};

export type Refusals = ReturnType<typeof newRefusals>;

export default newRefusals;
