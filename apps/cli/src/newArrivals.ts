import type { LoadPlan } from './loadPlan.js';
import newRandom from './newRandom.js';

/** One request to be sent, at a moment that nothing that happens in the run can move. */
export interface Arrival {
  /** Milliseconds after the run's start. */
  atMs: number;
  customer: string;
  /** Which prompt prefix it begins with. */
  prefix: number;
}

const MILLISECONDS = 1_000;

/** Weights of ranks by Zipf's law, adding up to one. */
export const zipfWeights = (count: number, exponent: number): number[] => {
  const raw = Array.from({ length: count }, (_, rank) => 1 / (rank + 1) ** exponent);
  const sum = raw.reduce((total, weight) => total + weight, 0);
  return raw.map((weight) => weight / sum);
};

const pickByWeight = (weights: readonly number[], point: number): number => {
  let left = point;
  const found = weights.findIndex((weight) => {
    left -= weight;
    return left < 0;
  });
  return found === -1 ? weights.length - 1 : found;
};

/** All arrivals of a plan in the order of their moments: Poisson for each customer. */
const newArrivals = (plan: LoadPlan): Arrival[] => {
  const random = newRandom(plan.seed);
  const shares = zipfWeights(plan.customers.length, plan.zipf?.exponent ?? 0);
  const prefixWeights = zipfWeights(plan.prefixes, 1);
  const endMs = plan.seconds * MILLISECONDS;
  const arrivals = plan.customers.flatMap(({ id, requestsPerSecond }, rank) => {
    const rate = requestsPerSecond + (plan.zipf?.requestsPerSecond ?? 0) * (shares[rank] ?? 0);
    const own: Arrival[] = [];
    let atMs = 0;
    while (rate > 0) {
      atMs += (-Math.log(1 - random()) / rate) * MILLISECONDS;
      if (atMs >= endMs) break;
      own.push({ atMs, customer: id, prefix: pickByWeight(prefixWeights, random()) });
    }
    return own;
  });
  return arrivals.sort((left, right) => left.atMs - right.atMs);
};

export default newArrivals;
