import type Clock from '@cyclamengate/common/Clock';
import type HostList from '@cyclamengate/platform/HostList';
import type ModelEngine from './ModelEngine.js';
import type { UpstreamDirectory } from './newUpstreamDirectory.js';

const LIST_INTERVAL_MS = 1_000;
const STATUS_INTERVAL_MS = 1_000;

/**
 * Updates the directory from the platform's list. If the platform is unreachable, the last list
 * applies.
 */
export const watchHostList = async (
  clock: Clock,
  hostList: HostList,
  directory: UpstreamDirectory,
  signal: AbortSignal,
): Promise<void> => {
  while (!signal.aborted) {
    const next = clock.now() + LIST_INTERVAL_MS;
    const listing = await hostList.read();
    if (listing.ok) directory.applyListing(listing.val.upstreams);
    await clock.sleepUntil(next, signal);
  }
};

/** Polls the status of the upstreams in this host's failure domain. */
export const watchLoads = async (
  clock: Clock,
  engine: ModelEngine,
  directory: UpstreamDirectory,
  failureDomain: string,
  signal: AbortSignal,
): Promise<void> => {
  while (!signal.aborted) {
    const next = clock.now() + STATUS_INTERVAL_MS;
    const sameDomain = directory
      .all()
      .filter(({ status }) => status.failureDomain === failureDomain);
    await Promise.all(
      sameDomain.map(async ({ status }) => {
        const reported = await engine.readStatus(status.url);
        if (reported.ok) directory.applyStatus(status.id, reported.val);
      }),
    );
    await clock.sleepUntil(next, signal);
  }
};
