import type ModelEngine from '@cyclamengate/upstreams/ModelEngine';
import type { UpstreamDirectory } from '@cyclamengate/upstreams/newUpstreamDirectory';
import type { Upstream } from '@cyclamengate/upstreams/upstream';

/**
 * Why an upstream's answer ended early.
 * - `crashed`: the upstream refuses connections, and was neither reclaimed nor draining
 * - `taken-away`: the upstream was reclaimed or ordered to shut down
 * - `unclear`: the upstream still responds or is unreachable
 */
export type FailureCause = 'crashed' | 'taken-away' | 'unclear';

/**
 * Determines why an upstream's answer ended early.
 *
 * A network partition, a reclaimed or draining upstream and a broken connection truncate answers
 * just like a request that crashes engines, but must not make the request a suspect. An upstream
 * therefore only counts as crashed if it refuses connections and was neither reclaimed nor
 * draining.
 */
const findFailureCause = async (
  engine: ModelEngine,
  directory: UpstreamDirectory,
  upstream: Upstream,
): Promise<FailureCause> => {
  const { status } = upstream;
  const probe = await engine.readStatus(status.url);
  const current = directory.all().find((one) => one.status.id === status.id) ?? upstream;
  const isTakenAway =
    current.status.reclaimed || current.status.state === 'leaving' || current.isLeaving;
  if (isTakenAway) return 'taken-away';
  return !probe.ok && probe.val === 'not-sent' ? 'crashed' : 'unclear';
};

export default findFailureCause;
