import type { Candidate } from '@cyclamengate/engines/chooseUpstream';
import findMoves from './findMoves.js';
import type { RunningItem } from './findMoves.js';

/** A running item, and the service whose engines may run it. */
export interface ServedItem extends RunningItem {
  service: string;
}

const groupByService = (items: ServedItem[]): Map<string, ServedItem[]> => {
  const groups = new Map<string, ServedItem[]>();
  items.forEach((item) => groups.set(item.service, [...(groups.get(item.service) ?? []), item]));
  return groups;
};

/**
 * Items that should go on at another engine, of all services.
 *
 * Each item is compared with the engines of its own service only: an engine of another one is not
 * among them, and would look as if it were leaving.
 */
const planMoves = (
  running: ServedItem[],
  candidatesOf: (service: string) => Candidate[],
  isListed: (upstream: string) => boolean,
): RunningItem[] =>
  [...groupByService(running)].flatMap(([service, items]) => {
    const known = candidatesOf(service);
    const isLeaving = (id: string): boolean =>
      isListed(id) && !known.some(({ entry }) => entry.id === id);
    return findMoves(items, known, isLeaving);
  });

export default planMoves;
