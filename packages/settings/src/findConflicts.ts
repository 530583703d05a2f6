import isWithinPath from './isWithinPath.js';
import type { SubtreeSettings } from './subtreeSettings.js';

/** Subtrees by path, as they would be after a change. */
export type SubtreesByPath = ReadonlyMap<string, SubtreeSettings>;

const findDuplicates = (
  subtrees: SubtreesByPath,
  kind: string,
  listIds: (subtree: SubtreeSettings) => string[],
): string[] => {
  const firstPathById = new Map<string, string>();
  const conflicts: string[] = [];
  subtrees.forEach((subtree, path) =>
    listIds(subtree).forEach((id) => {
      const firstPath = firstPathById.get(id);
      if (firstPath) conflicts.push(`${kind} ${id} at ${path} stands already at ${firstPath}`);
      firstPathById.set(id, path);
    }),
  );
  return conflicts;
};

/**
 * Whether a subtree at the path or above it matches. A team must not use what a sibling defines.
 */
const isVisible = (
  subtrees: SubtreesByPath,
  path: string,
  matches: (subtree: SubtreeSettings) => boolean,
): boolean =>
  [...subtrees].some(([otherPath, subtree]) => isWithinPath(path, otherPath) && matches(subtree));

const findInvalidReferences = (
  subtrees: SubtreesByPath,
  path: string,
  own: SubtreeSettings,
): string[] => {
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

const findInvalidPoolRanges = (path: string, own: SubtreeSettings): string[] =>
  own.services.flatMap((service) =>
    service.pools
      .filter((pool) => pool.minUpstreams > pool.maxUpstreams)
      .map(
        (pool) =>
          `service ${service.id} at ${path}: found minUpstreams ${pool.minUpstreams}; allowed: at most maxUpstreams ${pool.maxUpstreams}`,
      ),
  );

/** Lists all conflicts between the subtrees and within them; empty when there are none. */
const findConflicts = (subtrees: SubtreesByPath): string[] => [
  ...findDuplicates(subtrees, 'customer', (subtree) => subtree.customers.map(({ id }) => id)),
  ...findDuplicates(subtrees, 'key', (subtree) => subtree.keys.map(({ id }) => id)),
  ...findDuplicates(subtrees, 'key digest', (subtree) => subtree.keys.map(({ digest }) => digest)),
  ...findDuplicates(subtrees, 'service', (subtree) => subtree.services.map(({ id }) => id)),
  ...findDuplicates(subtrees, 'trainer', (subtree) => subtree.trainers.map(({ id }) => id)),
  ...findDuplicates(subtrees, 'operator', (subtree) => subtree.operators.map(({ id }) => id)),
  ...[...subtrees].flatMap(([path, own]) => findInvalidReferences(subtrees, path, own)),
  ...[...subtrees].flatMap(([path, own]) => findInvalidPoolRanges(path, own)),
];

export default findConflicts;
