import type { LoadPlan } from './loadPlan.js';
import newRandom from './newRandom.js';

/** One request of a load run; its time does not depend on how earlier requests are answered. */
export interface Arrival {
  /** Milliseconds after the run's start. */
  atMs: number;
  customer: string;
  /** Index of its prompt prefix. */
  prefix: number;
}

const MILLISECONDS_PER_SECOND = 1_000;

/** Zipf weights by rank, with a sum of 1. */
export const zipfWeights = (count: number, exponent: number): number[] => {
  const raw = Array.from({ length: count }, (_, rank) => 1 / (rank + 1) ** exponent);
  const sum = raw.reduce((total, weight) => total + weight, 0);
  return raw.map((weight) => weight / sum);
};

const pickByWeight = (weights: readonly number[], target: number): number => {
  let remaining = target;
  const index = weights.findIndex((weight) => {
    remaining -= weight;
    return remaining < 0;
  });
  return index === -1 ? weights.length - 1 : index;
};

/** Generates all arrivals of a plan, sorted by time; those of each customer are a Poisson process. */
const newArrivals = (plan: LoadPlan): Arrival[] => {
  const random = newRandom(plan.seed);
  const zipfShares = zipfWeights(plan.customers.length, plan.zipf?.exponent ?? 0);
  const prefixWeights = zipfWeights(plan.prefixes, 1);
  const endMs = plan.seconds * MILLISECONDS_PER_SECOND;
  const arrivals = plan.customers.flatMap(({ id, requestsPerSecond }, rank) => {
    const rate = requestsPerSecond + (plan.zipf?.requestsPerSecond ?? 0) * (zipfShares[rank] ?? 0);
    const customerArrivals: Arrival[] = [];
    let atMs = 0;
    while (rate > 0) {
      atMs += (-Math.log(1 - random()) / rate) * MILLISECONDS_PER_SECOND;
      if (atMs >= endMs) break;
      customerArrivals.push({ atMs, customer: id, prefix: pickByWeight(prefixWeights, random()) });
    }
    return customerArrivals;
  });
  return arrivals.sort((left, right) => left.atMs - right.atMs);
};

export default newArrivals;
