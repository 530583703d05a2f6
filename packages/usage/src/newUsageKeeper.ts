import type Clock from '@cyclamengate/common/Clock';
import type { Follower } from '@cyclamengate/coordination/newFollower';
import type { LogWriter } from '@cyclamengate/coordination/newLogWriter';
import type { UsageDelta } from '@cyclamengate/coordination/usageRecords';

const CHECK_EVERY_MS = 1_000;
const WRITE_TIMEOUT_MS = 10_000;

export interface UsageKeeperOptions {
  clock: Clock;
  follower: Follower;
  writer: LogWriter;
  /** Whether that run of a process is still alive, as far as this host knows. */
  isLive: (host: string) => boolean;
}

/**
 * Keeps other hosts' usage that is not in the log yet, and writes it for those that died. Should
 * the host be alive after all, both write the same deltas and the fold counts each once.
 */
const newUsageKeeper = ({ clock, follower, writer, isLive }: UsageKeeperOptions) => {
  const kept = new Map<string, UsageDelta[]>();

  const forget = (host: string, through: number): void => {
    const left = (kept.get(host) ?? []).filter(({ sequence }) => sequence > through);
    if (left.length === 0) kept.delete(host);
    else kept.set(host, left);
  };

  follower.onFolded(({ record }) => {
    if (record.type === 'usage-delta') forget(record.host, record.sequence);
  });

  const keep = (host: string, deltas: UsageDelta[]): void => {
    kept.set(host, deltas);
    forget(host, follower.state().usage.hosts[host]?.sequence ?? -1);
  };

  const writeFor = async (host: string): Promise<void> => {
    const deadline = clock.now() + WRITE_TIMEOUT_MS;
    await Promise.all((kept.get(host) ?? []).map((delta) => writer.write(delta, deadline)));
  };

  const run = async (signal: AbortSignal): Promise<void> => {
    while (!signal.aborted) {
      const dead = [...kept.keys()].filter((host) => !isLive(host));
      await Promise.all(dead.map(writeFor));
      await clock.sleepUntil(clock.now() + CHECK_EVERY_MS, signal);
    }
  };

  return { keep, run, kept: (): number => kept.size };
};

export type UsageKeeper = ReturnType<typeof newUsageKeeper>;

export default newUsageKeeper;
