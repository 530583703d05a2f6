import type { Homes } from '@cyclamengate/common/homes';
import type { Candidate } from '@cyclamengate/engines/chooseUpstream';
import type { ColdLimits } from '@cyclamengate/engines/newColdLimits';
import type { Health } from '@cyclamengate/engines/newHealth';
import type { Loads } from '@cyclamengate/engines/newLoads';
import type { Paces } from '@cyclamengate/engines/newPaces';
import type { UpstreamEntry } from '@cyclamengate/engines/upstreamEntry';
import findUsableUpstreams from './findUsableUpstreams.js';
import type { UsableUpstreamOptions } from './findUsableUpstreams.js';

export interface CandidateOptions extends UsableUpstreamOptions {
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
  const { coldLimits, health, loads, paces, failureDomain, isConnected } = options;

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
    findUsableUpstreams(options, service, homes)
      .filter(({ id }) => !tried.has(id))
      .map(describe);
};

export type Candidates = ReturnType<typeof newCandidates>;

export default newCandidates;
