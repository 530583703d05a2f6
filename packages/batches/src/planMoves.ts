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
  candidatesOf: (service: string) => Candidate[],
  isListed: (upstream: string) => boolean,
): RunningItem[] =>
  [...groupBy(running, ({ service }) => service)].flatMap(([service, items]) => {
    const known = candidatesOf(service);
    const isDraining = (id: string): boolean =>
      isListed(id) && !known.some(({ entry }) => entry.id === id);
    return findMoves(items, known, isDraining);
  });

export default planMoves;
