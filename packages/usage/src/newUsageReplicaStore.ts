import type Clock from '@cyclamengate/common/Clock';
import type { Follower } from '@cyclamengate/coordination/newFollower';
import type { LogWriter } from '@cyclamengate/coordination/newLogWriter';
import type { UsageDelta } from '@cyclamengate/coordination/usageRecords';

const CHECK_INTERVAL_MS = 1_000;
const WRITE_TIMEOUT_MS = 10_000;

export interface UsageReplicaStoreOptions {
  clock: Clock;
  follower: Follower;
  writer: LogWriter;
  /** Whether an incarnation of a process is still live in this host's view. */
  isLive: (host: string) => boolean;
}

/**
 * Stores copies of other hosts' usage that is not in the log yet, and writes them on behalf of
 * hosts that failed. If such a host is still running, both write the same deltas and the fold
 * counts each delta once.
 */
const newUsageReplicaStore = ({ clock, follower, writer, isLive }: UsageReplicaStoreOptions) => {
  const deltasByHost = new Map<string, UsageDelta[]>();

  const discardThrough = (host: string, through: number): void => {
    const remaining = (deltasByHost.get(host) ?? []).filter(({ sequence }) => sequence > through);
    if (remaining.length === 0) deltasByHost.delete(host);
    else deltasByHost.set(host, remaining);
  };

  follower.onFolded(({ record }) => {
    if (record.type === 'usage-delta') discardThrough(record.host, record.sequence);
  });

  const store = (host: string, deltas: UsageDelta[]): void => {
    deltasByHost.set(host, deltas);
    discardThrough(host, follower.state().usage.hosts[host]?.sequence ?? -1);
  };

  const writeDeltas = async (host: string): Promise<void> => {
    const deadline = clock.now() + WRITE_TIMEOUT_MS;
    await Promise.all((deltasByHost.get(host) ?? []).map((delta) => writer.write(delta, deadline)));
  };

  const run = async (signal: AbortSignal): Promise<void> => {
    while (!signal.aborted) {
      const deadHosts = [...deltasByHost.keys()].filter((host) => !isLive(host));
      await Promise.all(deadHosts.map(writeDeltas));
      await clock.sleepUntil(clock.now() + CHECK_INTERVAL_MS, signal);
    }
  };

  return { store, run, hostCount: (): number => deltasByHost.size };
};

export type UsageReplicaStore = ReturnType<typeof newUsageReplicaStore>;

export default newUsageReplicaStore;
