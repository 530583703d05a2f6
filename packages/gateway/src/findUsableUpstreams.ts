import { isInHomes } from '@cyclamengate/common/homes';
import type { Homes, Regions } from '@cyclamengate/common/homes';
import type { Directory } from '@cyclamengate/engines/newDirectory';
import type { Evacuations } from '@cyclamengate/engines/newEvacuations';
import type { UpstreamEntry } from '@cyclamengate/engines/upstreamEntry';

export interface UsableUpstreamOptions {
  regions: Regions;
  directory: Directory;
  evacuations: Pick<Evacuations, 'isEvacuated'>;
}

/** A service's upstreams in some homes, except draining ones and those of evacuated failure domains. */
const findUsableUpstreams = (
  { regions, directory, evacuations }: UsableUpstreamOptions,
  service: string,
  homes: Homes,
): UpstreamEntry[] =>
  directory
    .all(service)
    .filter(({ isDraining }) => !isDraining)
    .filter((entry) => isInHomes(homes, entry.failureDomain, regions))
    .filter((entry) => !evacuations.isEvacuated(entry.failureDomain));

export default findUsableUpstreams;
