import groupBy from '@cyclamengate/common/groupBy';
import type { Candidate } from '@cyclamengate/engines/chooseUpstream';
import findMoves from './findMoves.js';
import type { RunningItem } from './findMoves.js';

/** A running item and the service whose engines may run it. */
export interface ServedItem extends RunningItem {
  service: string;
}

/**
 * Selects items of all services that should resume on another engine.
 *
 * Each item is compared only with the engines of its own service: an engine of another service is
 * not among them, and would appear to be draining.
 */
const planMoves = (
  running: ServedItem[],
  getCandidates: (service: string) => Candidate[],
  isListed: (upstream: string) => boolean,
): RunningItem[] =>
  [...groupBy(running, ({ service }) => service)].flatMap(([service, items]) => {
    const candidates = getCandidates(service);
    const isDraining = (id: string): boolean =>
      isListed(id) && !candidates.some(({ entry }) => entry.id === id);
    return findMoves(items, candidates, isDraining);
  });

export default planMoves;
