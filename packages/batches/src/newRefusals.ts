import type Clock from '@cyclamengate/common/Clock';

/** A load takes 0.9 s; with four retries in that time, an engine is used soon after the load. */
const REFUSAL_BACKOFF_MS = 220;
/** Time after a refusal in which one item tries an engine before others follow; a load is shorter. */
const PROBATION_MS = 1_500;

interface Refusal {
  refusingUntil: number;
  onProbationUntil: number;
}

/**
 * Tracks the engines that have recently refused requests for a model.
 *
 * An engine that loads a model refuses new requests for it until the load is complete, and serves
 * other models as before. Without this, all waiting items would be sent to it again and again.
 * After each pause one item tries it first, since otherwise as many as it has free slots would be
 * refused each time.
 */
const newRefusals = (clock: Clock) => {
  const refusals = new Map<string, Refusal>();
  const keyOf = (upstream: string, model: string | null): string => `${upstream} ${model ?? ''}`;

  const isRefusing = (upstream: string, model: string | null): boolean =>
    clock.now() < (refusals.get(keyOf(upstream, model))?.refusingUntil ?? -Infinity);

  const removeExpired = (): void =>
    refusals.forEach(({ onProbationUntil }, key) => {
      if (clock.now() >= onProbationUntil) refusals.delete(key);
    });

  return {
    record: (upstream: string, model: string | null): void => {
      removeExpired();
      refusals.set(keyOf(upstream, model), {
        refusingUntil: clock.now() + REFUSAL_BACKOFF_MS,
        onProbationUntil: clock.now() + PROBATION_MS,
      });
    },
    /** Records that the engine takes requests for the model. */
    clear: (upstream: string, model: string | null): void => {
      refusals.delete(keyOf(upstream, model));
    },
    isRefusing,
    /** Whether an item may start now; on probation this holds others back until it is answered. */
    mayStart: (upstream: string, model: string | null): boolean => {
      if (isRefusing(upstream, model)) return false;
      const refusal = refusals.get(keyOf(upstream, model));
      if (refusal && clock.now() < refusal.onProbationUntil) {
        refusal.refusingUntil = clock.now() + REFUSAL_BACKOFF_MS;
      }
      return true;
    },
  };
};

export type Refusals = ReturnType<typeof newRefusals>;

export default newRefusals;
