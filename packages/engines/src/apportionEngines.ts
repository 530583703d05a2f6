import { NOMINAL_PACES, PACE_CLASSES } from './classifyPace.js';
import type { PaceClass } from './classifyPace.js';

/** A model and the work that its trainer asks for; only the ratios between models count. */
export interface ModelDemand {
  model: string;
  demand: number;
}

/** Engines of one class of pace. */
export interface EngineClass {
  count: number;
  /** Average number of slots of an engine. */
  slots: number;
}

/** Number of engines of each class that a model gets. */
export type EngineQuota = Record<PaceClass, number>;

/** With two engines, one can serve while the other loads or has failed. */
export const MIN_ENGINES_PER_MODEL = 2;
/** Demands that differ by at most this factor count as equal. */
const MAX_ALIKE_RATIO = 1.3;

const sumQuota = (quota: EngineQuota): number =>
  PACE_CLASSES.reduce((sum, paceClass) => sum + quota[paceClass], 0);

const areAlike = (models: ModelDemand[]): boolean => {
  const demands = models.map(({ demand }) => demand);
  return Math.max(...demands) <= Math.min(...demands) * MAX_ALIKE_RATIO;
};

/** Takes engines from the models with the most until each has the least number. */
const raiseToMinimum = (quotas: Map<string, EngineQuota>): void => {
  const list = [...quotas.values()];
  const findPoor = () => list.find((quota) => sumQuota(quota) < MIN_ENGINES_PER_MODEL);
  for (let poor = findPoor(); poor; poor = findPoor()) {
    const rich = list.reduce((most, quota) => (sumQuota(quota) > sumQuota(most) ? quota : most));
    const given = PACE_CLASSES.reduce((most, name) => (rich[name] > rich[most] ? name : most));
    rich[given] -= 1;
    poor[given] += 1;
  }
};

/**
 * Divides engines among models in proportion to their demand, by capacity: a fast engine does more.
 *
 * Each engine goes to the model that is furthest below its share (the Webster method), the fast
 * engines first, so that every model gets its part of them. With equal demands and paces all models
 * get the same number, and what is left is not assigned: more loads would be paid for.
 *
 * @param models in an order that is the same on every host; at least two engines each must exist
 */
const apportionEngines = (
  models: ModelDemand[],
  classes: Record<PaceClass, EngineClass>,
): Map<string, EngineQuota> => {
  const isAlike = areAlike(models);
  const shares = models.map(({ model, demand }) => ({
    demand: isAlike ? 1 : demand,
    capacity: 0,
    quota: { fast: 0, usual: 0, slow: 0 },
    model,
  }));
  const present = PACE_CLASSES.filter((name) => classes[name].count > 0);
  present.forEach((name) => {
    const { count, slots } = classes[name];
    const capacity = Math.max(1, slots) / NOMINAL_PACES[name];
    const leftOver = isAlike && present.length === 1 ? count % models.length : 0;
    Array.from({ length: count - leftOver }).forEach(() => {
      const fillWith = (share: (typeof shares)[number]): number =>
        (share.capacity + capacity / 2) / share.demand;
      const next = shares.reduce((least, share) =>
        fillWith(share) < fillWith(least) ? share : least,
      );
      next.capacity += capacity;
      next.quota[name] += 1;
    });
  });
  const quotas = new Map(shares.map(({ model, quota }) => [model, quota]));
  raiseToMinimum(quotas);
  return quotas;
};

export default apportionEngines;
