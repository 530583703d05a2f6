import type { Candidate } from '@cyclamengate/engines/chooseUpstream';
import { getLoadedVersion } from '@cyclamengate/engines/upstreamEntry';

/** What decides on which engines an item may run. */
export interface VersionNeeds {
  model: string | null;
  minVersion: number;
  /** The only version that may continue the text; null if any may. */
  requiredVersion: number | null;
}

/**
 * Whether an engine has recently refused requests for a model, as it does while it loads the model.
 */
export type RefusalCheck = (upstream: string, model: string | null) => boolean;

/** Number of items that may start at an engine now. */
export const countFree = ({ entry, load, isBackedOff, remainingStarts }: Candidate): number =>
  isBackedOff ? 0 : Math.max(0, Math.min(entry.slots - load, remainingStarts));

/** Whether an engine may take an item, apart from its load. */
export const mayRun = (
  { model, minVersion, requiredVersion }: VersionNeeds,
  { entry }: Candidate,
  isRefusing: RefusalCheck,
): boolean => {
  const version = model === null ? null : getLoadedVersion(entry, model);
  const isVersionAllowed =
    version === null ||
    (version >= minVersion && (requiredVersion === null || version === requiredVersion));
  return isVersionAllowed && !isRefusing(entry.id, model);
};
