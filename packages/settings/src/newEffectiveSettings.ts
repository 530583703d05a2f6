import type { CustomerSettings } from './customerSettings.js';
import type { KeySettings } from './keySettings.js';
import type { ServiceSettings } from './serviceSettings.js';
import type { SettingsTree } from './settingsTree.js';
import type { TrainerSettings } from './trainerSettings.js';

const byId = <T extends { id: string }>(items: T[]): ReadonlyMap<string, T> =>
  new Map(items.map((item) => [item.id, item]));

/** Indexes the settings tree for lookups. Rebuilt whenever the tree changes. */
const newEffectiveSettings = (tree: SettingsTree) => {
  const subtrees = Object.values(tree).flatMap(({ subtree }) => (subtree ? [subtree] : []));
  const keys: KeySettings[] = subtrees.flatMap((subtree) => subtree.keys);
  return {
    customers: byId<CustomerSettings>(subtrees.flatMap((subtree) => subtree.customers)),
    services: byId<ServiceSettings>(subtrees.flatMap((subtree) => subtree.services)),
    trainers: byId<TrainerSettings>(subtrees.flatMap((subtree) => subtree.trainers)),
    /** Keys by digest, without withdrawn ones. */
    keysByDigest: new Map(
      keys.filter((key) => !key.withdrawn).map((key) => [key.digest, key] as const),
    ) as ReadonlyMap<string, KeySettings>,
  };
};

export type EffectiveSettings = ReturnType<typeof newEffectiveSettings>;

export default newEffectiveSettings;
