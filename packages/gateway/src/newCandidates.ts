import { isInHomes } from '@cyclamengate/common/homes';
import type { Homes, Regions } from '@cyclamengate/common/homes';
import type { Candidate } from '@cyclamengate/engines/chooseUpstream';
import type { Directory } from '@cyclamengate/engines/newDirectory';
import type { ColdLimits } from '@cyclamengate/engines/newColdLimits';
import type { Evacuations } from '@cyclamengate/engines/newEvacuations';
import type { Health } from '@cyclamengate/engines/newHealth';
import type { Loads } from '@cyclamengate/engines/newLoads';
import type { Paces } from '@cyclamengate/engines/newPaces';
import type { UpstreamEntry } from '@cyclamengate/engines/upstreamEntry';

export interface CandidateOptions {
  regions: Regions;
  directory: Directory;
  evacuations: Pick<Evacuations, 'isEvacuated'>;
  coldLimits: Pick<ColdLimits, 'remaining'>;
  health: Health;
  loads: Loads;
  paces: Pick<Paces, 'describe'>;
  failureDomain: string;
  isConnected: (entry: UpstreamEntry) => boolean;
}

/**
 * Collects load, pace and health of a service's upstreams, except draining ones, those of evacuated
 * failure domains, those outside the request's homes and those already tried.
 */
const newCandidates = (options: CandidateOptions) => {
  const { directory, evacuations, coldLimits, health, loads, failureDomain, isConnected } = options;
  const { regions, paces } = options;

  const describe = (entry: UpstreamEntry): Candidate => {
    const { pace, lastingPace } = paces.describe(entry);
    return {
      entry,
      load: loads.estimate(entry.id),
      pace,
      lastingPace,
      isBackedOff: health.isBackedOff(entry.id),
      isOwnDomain: entry.failureDomain === failureDomain,
      isConnected: isConnected(entry),
      remainingStarts: coldLimits.remaining(entry),
    };
  };

  return (
    service: string,
    tried: ReadonlySet<string> = new Set(),
    homes: Homes = null,
  ): Candidate[] =>
    directory
      .all(service)
      .filter(({ id, isDraining }) => !isDraining && !tried.has(id))
      .filter((entry) => isInHomes(homes, entry.failureDomain, regions))
      .filter((entry) => !evacuations.isEvacuated(entry.failureDomain))
      .map(describe);
};

export type Candidates = ReturnType<typeof newCandidates>;

export default newCandidates;
