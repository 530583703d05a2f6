import type Clock from '@cyclamengate/common/Clock';
import type HostList from '@cyclamengate/platform/HostList';
import type ModelEngine from './ModelEngine.js';
import type { UpstreamDirectory } from './newUpstreamDirectory.js';

const LIST_EVERY_MS = 1_000;
const REPORT_EVERY_MS = 1_000;

/** Keeps the directory up to the platform's list. While the platform is out, the last list stands. */
export const watchHostList = async (
  clock: Clock,
  hostList: HostList,
  directory: UpstreamDirectory,
  signal: AbortSignal,
): Promise<void> => {
  while (!signal.aborted) {
    const next = clock.now() + LIST_EVERY_MS;
    const listing = await hostList.read();
    if (listing.ok) directory.list(listing.val.upstreams);
    await clock.sleepUntil(next, signal);
  }
};

/** Reads the load of the upstreams of this host's own failure domain. */
export const watchLoads = async (
  clock: Clock,
  engine: ModelEngine,
  directory: UpstreamDirectory,
  failureDomain: string,
  signal: AbortSignal,
): Promise<void> => {
  while (!signal.aborted) {
    const next = clock.now() + REPORT_EVERY_MS;
    const near = directory.all().filter(({ status }) => status.failureDomain === failureDomain);
    await Promise.all(
      near.map(async ({ status }) => {
        const reported = await engine.readStatus(status.url);
        if (reported.ok) directory.report(status.id, reported.val);
      }),
    );
    await clock.sleepUntil(next, signal);
  }
};
