import type { DueLoad } from './loadWeights.js';
import planHomes from './planHomes.js';
import { versionOf } from './upstreamEntry.js';
import type { UpstreamEntry } from './upstreamEntry.js';

/**
 * An engine waits so long for the one before it: a load of 0.9 s, up to 1.2 s until the engine's
 * entry shows it, and the order itself. Longer, and that engine is cut off or lost.
 */
const TURN_MS = 2_600;

/** A model's newest version as its trainer named it. */
export interface NewestVersion {
  model: string;
  version: number;
  /** When this host learned of it, on the monotonic clock. */
  learnedAt: number;
}

/**
 * Loads that are due now, of all failure domains.
 *
 * An engine refuses new requests for a model while it loads it. Were all of a model's engines to
 * load at once, its items would wait for a second. So they take turns in an order that every host
 * works out alike: one loads once those before it have, or have had their time.
 */
const findDueLoads = (
  engines: UpstreamEntry[],
  newest: NewestVersion[],
  now: number,
): Omit<DueLoad, 'mustWaitForRuns'>[] => {
  const usable = engines.filter(({ isDraining }) => !isDraining);
  const homes = planHomes(
    newest.map(({ model }) => model),
    usable.map(({ id }) => id),
  );
  return newest.flatMap(({ model, version, learnedAt }) => {
    const ids = [...(homes.get(model) ?? [])];
    const turns = ids.flatMap((id) => usable.filter((entry) => entry.id === id));
    const behind = turns.filter((entry) => versionOf(entry, model) < version);
    // Each further engine has its turn a turn's time later, if those before it do not get done.
    const dueCount = 1 + Math.floor((now - learnedAt) / TURN_MS);
    return behind.slice(0, dueCount).map((entry) => ({ entry, model, version }));
  });
};

export default findDueLoads;
