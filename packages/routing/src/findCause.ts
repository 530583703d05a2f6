import type ModelEngine from '@cyclamengate/upstreams/ModelEngine';
import type { UpstreamDirectory } from '@cyclamengate/upstreams/newUpstreamDirectory';
import type { Upstream } from '@cyclamengate/upstreams/upstream';

/**
 * What made an upstream break off.
 * - `died`: it refuses connections now, and nobody was taking it away
 * - `taken-away`: it was reclaimed or told to leave
 * - `unclear`: it is still there, or can't be reached at all
 */
export type BreakCause = 'died' | 'taken-away' | 'unclear';

/**
 * Finds out why an upstream broke off.
 *
 * A cut network, a reclaimed or leaving upstream and a broken connection end answers as well as a
 * request that crashes engines, and a request must not come under suspicion for them. So only an
 * upstream that refuses connections, and that nobody was taking away, counts as dead.
 */
const findCause = async (
  engine: ModelEngine,
  directory: UpstreamDirectory,
  upstream: Upstream,
): Promise<BreakCause> => {
  const { status } = upstream;
  const probe = await engine.readStatus(status.url);
  const current = directory.all().find((one) => one.status.id === status.id) ?? upstream;
  const isTakenAway =
    current.status.reclaimed || current.status.state === 'leaving' || current.isLeaving;
  if (isTakenAway) return 'taken-away';
  return !probe.ok && probe.val === 'not-sent' ? 'died' : 'unclear';
};

export default findCause;
