import isWithinPath from './isWithinPath.js';
import type { SubtreeSettings } from './subtreeSettings.js';

/** Subtrees by path, as they would stand after a change. */
export type SubtreesByPath = ReadonlyMap<string, SubtreeSettings>;

const findRepeated = (
  subtrees: SubtreesByPath,
  what: string,
  idsOf: (subtree: SubtreeSettings) => string[],
): string[] => {
  const seen = new Map<string, string>();
  const conflicts: string[] = [];
  subtrees.forEach((subtree, path) =>
    idsOf(subtree).forEach((id) => {
      const first = seen.get(id);
      if (first) conflicts.push(`${what} ${id} at ${path} stands already at ${first}`);
      seen.set(id, path);
    }),
  );
  return conflicts;
};

/** A team may use what its own subtree or one above it offers, never a sibling's. */
const isVisible = (
  subtrees: SubtreesByPath,
  path: string,
  has: (subtree: SubtreeSettings) => boolean,
): boolean => [...subtrees].some(([place, subtree]) => isWithinPath(path, place) && has(subtree));

const findDangling = (subtrees: SubtreesByPath, path: string, own: SubtreeSettings): string[] => {
  const hasCustomer = (id: string) => own.customers.some((customer) => customer.id === id);
  const hasService = (id: string, scoring: boolean) =>
    isVisible(subtrees, path, (subtree) =>
      subtree.services.some(
        (service) => service.id === id && (service.type === 'scoring') === scoring,
      ),
    );
  const keys = own.keys
    .filter((key) => !hasCustomer(key.customer))
    .map(
      (key) => `key ${key.id} at ${path}: found customer ${key.customer}; allowed: one of ${path}`,
    );
  const trainers = own.trainers.flatMap((trainer) => [
    ...(hasCustomer(trainer.customer)
      ? []
      : [
          `trainer ${trainer.id} at ${path}: found customer ${trainer.customer}; allowed: one of ${path}`,
        ]),
    ...(hasService(trainer.service, false)
      ? []
      : [
          `trainer ${trainer.id} at ${path}: found service ${trainer.service}; allowed: a model at or above ${path}`,
        ]),
    ...(!trainer.scoringService || hasService(trainer.scoringService, true)
      ? []
      : [
          `trainer ${trainer.id} at ${path}: found scoring service ${trainer.scoringService}; allowed: a scoring service at or above ${path}`,
        ]),
  ]);
  const operators = own.operators.flatMap((operator) =>
    operator.paths
      .filter((granted) => !isWithinPath(granted, path))
      .map(
        (granted) =>
          `operator ${operator.id} at ${path}: found path ${granted}; allowed: ${path} or below`,
      ),
  );
  return [...keys, ...trainers, ...operators];
};

const findPoolRanges = (path: string, own: SubtreeSettings): string[] =>
  own.services.flatMap((service) =>
    service.pools
      .filter((pool) => pool.minUpstreams > pool.maxUpstreams)
      .map(
        (pool) =>
          `service ${service.id} at ${path}: found minUpstreams ${pool.minUpstreams}; allowed: at most maxUpstreams ${pool.maxUpstreams}`,
      ),
  );

/** Everything that keeps these subtrees from standing together; empty when they can. */
const findConflicts = (subtrees: SubtreesByPath): string[] => [
  ...findRepeated(subtrees, 'customer', (subtree) => subtree.customers.map(({ id }) => id)),
  ...findRepeated(subtrees, 'key', (subtree) => subtree.keys.map(({ id }) => id)),
  ...findRepeated(subtrees, 'key digest', (subtree) => subtree.keys.map(({ digest }) => digest)),
  ...findRepeated(subtrees, 'service', (subtree) => subtree.services.map(({ id }) => id)),
  ...findRepeated(subtrees, 'trainer', (subtree) => subtree.trainers.map(({ id }) => id)),
  ...findRepeated(subtrees, 'operator', (subtree) => subtree.operators.map(({ id }) => id)),
  ...[...subtrees].flatMap(([path, own]) => findDangling(subtrees, path, own)),
  ...[...subtrees].flatMap(([path, own]) => findPoolRanges(path, own)),
];

export default findConflicts;
