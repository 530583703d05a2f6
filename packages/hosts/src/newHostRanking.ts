import { computeWeight } from '@cyclamengate/common/rendezvousRank';
import MAX_HOSTS from './maxHosts.js';
import rankHosts from './rankHosts.js';
import type { RankedHost } from './rankHosts.js';

/** Some subjects are ids of batches, which come and go; when there are more, all weights are discarded. */
const MAX_SUBJECTS = 100;
/** Weights for one subject, also of hosts that are gone; when there are more, they are discarded. */
const MAX_WEIGHTS = 2 * MAX_HOSTS;

/**
 * Ranks hosts as `rankHosts` does, and keeps the weights of those that it has ranked: each time that a host
 * of the fleet starts or ends, all hosts rank all others for every subject again.
 */
const newHostRanking = (compute = computeWeight) => {
  const weightsBySubject = new Map<string, Map<string, string>>();

  const getOrCreateWeights = (subject: string): Map<string, string> => {
    const known = weightsBySubject.get(subject);
    if (known) return known;
    if (weightsBySubject.size >= MAX_SUBJECTS) weightsBySubject.clear();
    const created = new Map<string, string>();
    weightsBySubject.set(subject, created);
    return created;
  };

  const findWeight = (subject: string, host: string): string => {
    const weights = getOrCreateWeights(subject);
    const known = weights.get(host);
    if (known !== undefined) return known;
    const weight = compute(subject, host);
    if (weights.size >= MAX_WEIGHTS) weights.clear();
    weights.set(host, weight);
    return weight;
  };

  return (subject: string, hosts: RankedHost[]): string[] => rankHosts(subject, hosts, findWeight);
};

export type HostRanking = ReturnType<typeof newHostRanking>;

export default newHostRanking;
