import type { DueLoad } from './loadWeights.js';
import newEngineAssigner from './newEngineAssigner.js';
import type { EngineAssigner } from './newEngineAssigner.js';
import { getLoadedVersion } from './upstreamEntry.js';
import type { UpstreamEntry } from './upstreamEntry.js';

/**
 * Time after which the next group of engines may load even if the previous one has not: a load
 * takes 0.9 s, the engine's entry shows it up to 1.2 s later, and the order itself takes time. An
 * engine that needs longer is unreachable or lost.
 */
const LOAD_TURN_MS = 2_600;
/** Fraction of a model's engines that load concurrently while the others keep serving. */
const CONCURRENT_LOAD_FRACTION = 1 / 3;

/** Assigns engines as if all demands and paces were equal. */
const assignAlike = newEngineAssigner({ demandOf: () => 1, paceOf: () => 1 });

/** A model's newest version as announced by its trainer. */
export interface NewestVersion {
  model: string;
  version: number;
  /** When this host learned of the version, on the monotonic clock. */
  learnedAt: number;
}

/**
 * Finds the loads that are due now, in all failure domains.
 *
 * An engine refuses new requests for a model while it loads the model's weights. If all engines of
 * a model loaded at once, its items would wait for a second. The engines therefore load in an order
 * that every host derives identically: a third of them at a time, each group once the previous one
 * has loaded or its time has passed.
 *
 * Loading one engine at a time is too slow for a model with many engines: versions arrive faster
 * than engines load, and most engines fall so far behind that no step may use them. A step of a
 * hundred items then runs on three of thirty engines. An engine that is further behind than the
 * model's steps allow cannot serve any of them, so it loads at once.
 *
 * @param allowedLag versions by which an engine may be behind and still serve a model's steps
 * @param assign gives each model its engines, the same on every host
 */
const findDueLoads = (
  engines: UpstreamEntry[],
  newest: NewestVersion[],
  now: number,
  allowedLag: (model: string) => number,
  assign: EngineAssigner = assignAlike,
): Omit<DueLoad, 'mustWaitForRuns'>[] => {
  const usable = engines.filter(({ isDraining }) => !isDraining);
  const assignments = assign(
    newest.map(({ model }) => model),
    usable,
  );
  return newest.flatMap(({ model, version, learnedAt }) => {
    const ids = [...(assignments.get(model) ?? [])];
    const loadOrder = ids.flatMap((id) => usable.filter((entry) => entry.id === id));
    const outdated = loadOrder.filter((entry) => getLoadedVersion(entry, model) < version);
    // Each time a turn passes, a further group may load, even if earlier groups have not finished.
    const groupSize = Math.max(1, Math.floor(loadOrder.length * CONCURRENT_LOAD_FRACTION));
    const dueCount = groupSize * (1 + Math.floor((now - learnedAt) / LOAD_TURN_MS));
    const isTooOldToServe = (entry: UpstreamEntry): boolean =>
      version - getLoadedVersion(entry, model) > allowedLag(model);
    const unusable = outdated.filter(isTooOldToServe);
    const inTurn = outdated.filter((entry) => !isTooOldToServe(entry)).slice(0, dueCount);
    return [...unusable, ...inTurn].map((entry) => ({ entry, model, version }));
  });
};

export default findDueLoads;
