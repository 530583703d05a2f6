import type { ItemHead } from './batchRecord.js';
import { DEFAULT_EXPECTED_TOKENS } from './estimateRest.js';

/** Weight of the newest step in the average. */
const NEWEST_STEP_WEIGHT = 0.3;
/** The demand that counts follows the average once they differ by more than this factor. */
const MAX_DRIFT_RATIO = 1.3;
/** A model is idle once another one has had this many steps since its last. */
const IDLE_AFTER_STEPS = 6;
/** Models whose demand is followed; the one whose newest step is the oldest is forgotten first. */
const MAX_MODELS = 256;
/** Demand of an idle model, relative to the average of the others. */
const IDLE_SHARE = 1 / 3;

/** The part of a step that decides on demand. */
export interface DemandedStep {
  model: string | null;
  step: number | null;
  items: Iterable<Pick<ItemHead, 'expectedTokens'>>;
}

interface ModelDemand {
  step: number | null;
  /** Expected tokens of the newest step so far. */
  stepTokens: number;
  /** Average over earlier steps; null before the second step. */
  averageTokens: number | null;
  /** The demand that counts. */
  tokens: number;
  /** Steps of each other model since this model's newest one. */
  stepsOfOthers: Map<string, number>;
}

/**
 * Follows how much work each model's trainer asks for, from the batches in the log.
 *
 * What every host computes here must be the same, since engines are assigned by it. So only the
 * order of the log counts: no clock, and no time at which a host read a record. Demand is the work
 * of a step and not work per time: a trainer whose model has too few engines asks less often and
 * would get fewer still.
 */
const newDemands = () => {
  const demands = new Map<string, ModelDemand>();

  const countStep = (model: string): void =>
    demands.forEach(({ stepsOfOthers }, other) => {
      if (other !== model) stepsOfOthers.set(model, (stepsOfOthers.get(model) ?? 0) + 1);
    });

  /** Steps of models that nobody trains would make the counts grow without end. */
  const forgetOldest = (): void => {
    const [oldest] = demands.keys();
    if (demands.size <= MAX_MODELS || oldest === undefined) return;
    demands.delete(oldest);
    demands.forEach(({ stepsOfOthers }) => stepsOfOthers.delete(oldest));
  };

  const settle = (demand: ModelDemand): void => {
    const { averageTokens, stepTokens, tokens } = demand;
    const average =
      averageTokens === null
        ? stepTokens
        : averageTokens + NEWEST_STEP_WEIGHT * (stepTokens - averageTokens);
    demand.averageTokens = average;
    const drift = Math.max(average / tokens, tokens / average);
    if (drift > MAX_DRIFT_RATIO) demand.tokens = average;
  };

  const isIdle = ({ stepsOfOthers }: ModelDemand): boolean =>
    Math.max(0, ...stepsOfOthers.values()) >= IDLE_AFTER_STEPS;

  const findKnown = (models: string[]): ModelDemand[] =>
    models.flatMap((model) => demands.get(model) ?? []);

  return {
    /** Applies the next batch of the log. */
    apply: ({ model, step, items }: DemandedStep): void => {
      if (model === null) return;
      const tokens = [...items].reduce(
        (sum, { expectedTokens }) => sum + (expectedTokens ?? DEFAULT_EXPECTED_TOKENS),
        0,
      );
      if (tokens <= 0) return;
      const known = demands.get(model);
      if (known && step !== null && known.step === step) {
        // A step may come in several batches.
        known.stepTokens += tokens;
        if (known.averageTokens === null) known.tokens = known.stepTokens;
        return;
      }
      countStep(model);
      if (!known) {
        demands.set(model, {
          step,
          stepTokens: tokens,
          averageTokens: null,
          tokens,
          stepsOfOthers: new Map(),
        });
        forgetOldest();
        return;
      }
      // Deleted first, so that it becomes the newest entry.
      demands.delete(model);
      demands.set(model, known);
      settle(known);
      known.step = step;
      known.stepTokens = tokens;
      known.stepsOfOthers.clear();
    },
    /**
     * Demand of a model among those that share its engines. A model that has had no step yet counts
     * as an average one, one whose trainer has stopped keeps a small part.
     */
    demandOf: (model: string, models: string[]): number => {
      const active = findKnown(models).filter((demand) => !isIdle(demand));
      const average =
        active.reduce((sum, { tokens }) => sum + tokens, 0) / Math.max(1, active.length);
      const demand = demands.get(model);
      if (active.length === 0 || !demand) return average || 1;
      return isIdle(demand) ? average * IDLE_SHARE : demand.tokens;
    },
  };
};

export type Demands = ReturnType<typeof newDemands>;

export default newDemands;
