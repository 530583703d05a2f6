import type ModelEngine from '@cyclamengate/upstreams/ModelEngine';
import type { UpstreamDirectory } from '@cyclamengate/upstreams/newUpstreamDirectory';
import type { Upstream } from '@cyclamengate/upstreams/upstream';

/**
 * Whether an upstream that broke off has died, as a request that crashes engines would make it.
 *
 * A cut network, a reclaimed or leaving upstream and a broken connection end answers as well, and a
 * request must not come under suspicion for them. So only an upstream that refuses connections now,
 * and that nobody was taking away, counts as dead; one that can't be reached at all does not.
 */
const findDeath = async (
  engine: ModelEngine,
  directory: UpstreamDirectory,
  upstream: Upstream,
): Promise<boolean> => {
  const { status } = upstream;
  const probe = await engine.readStatus(status.url);
  const isRefusing = !probe.ok && probe.val === 'not-sent';
  const current = directory.all().find(({ status: { id } }) => id === status.id) ?? upstream;
  const isTakenAway =
    current.status.reclaimed || current.status.state === 'leaving' || current.isLeaving;
  return isRefusing && !isTakenAway;
};

export default findDeath;
