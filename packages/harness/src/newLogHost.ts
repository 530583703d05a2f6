import newMetrics from '@cyclamengate/common/newMetrics';
import type { Metrics } from '@cyclamengate/common/newMetrics';
import newFollower from '@cyclamengate/coordination/newFollower';
import type { Follower } from '@cyclamengate/coordination/newFollower';
import newLogWriter from '@cyclamengate/coordination/newLogWriter';
import type { LogWriter } from '@cyclamengate/coordination/newLogWriter';
import type { ManualClock } from '@cyclamengate/fakes/newManualClock';
import type { MemoryLog } from '@cyclamengate/fakes/newMemoryLog';

const READ_INTERVAL_MS = 20;
const APPENDS_PER_SECOND = 50;

export interface LogHost {
  follower: Follower;
  writer: LogWriter;
  metrics: Metrics;
  /** Aborted by `kill`. */
  signal: AbortSignal;
  kill: () => void;
}

/** A host for tests that follows the log and writes to it, on a clock that the test advances. */
const newLogHost = (log: MemoryLog, clock: ManualClock, name: string): LogHost => {
  const follower = newFollower(clock);
  const metrics = newMetrics();
  const stop = new AbortController();
  const writer = newLogWriter({
    clock,
    log,
    follower,
    metrics,
    writer: name,
    appendsPerSecond: () => APPENDS_PER_SECOND,
    random: () => 0.5,
  });

  const read = async (): Promise<void> => {
    while (!stop.signal.aborted) {
      const page = await log.read(follower.next());
      if (page.ok) follower.ingest({ ...page.val, logFirst: 0, ageMs: 0 });
      await clock.sleepUntil(clock.now() + READ_INTERVAL_MS, stop.signal);
    }
  };
  read().catch(() => undefined);
  writer.run(stop.signal).catch(() => undefined);

  return {
    follower,
    writer,
    metrics,
    signal: stop.signal,
    kill: (): void => stop.abort(),
  };
};

export default newLogHost;
