import newMetrics from '@cyclamengate/common/newMetrics';
import newSystemClock from '@cyclamengate/common/newSystemClock';
import newTaskGroup from '@cyclamengate/common/newTaskGroup';
import type { AuditEntry } from '@cyclamengate/coordination/auditEntry';
import newFollower from '@cyclamengate/coordination/newFollower';
import newLogWriter from '@cyclamengate/coordination/newLogWriter';
import newHttpPlatformLog from '@cyclamengate/platform/newHttpPlatformLog';
import { Err, Ok } from '@cyclamengate/common/outcome';
import type { Result } from '@cyclamengate/common/outcome';

const MAX_APPENDS_PER_SECOND = 20;
const MAX_READ_FAILURES = 5;
const RETRY_DELAY_MS = 300;

/** Reads the log from its start, and writes to it, for a command. */
const newLogSession = (logUrl: string) => {
  const clock = newSystemClock();
  const log = newHttpPlatformLog(logUrl);
  const follower = newFollower(clock);
  const audit: AuditEntry[] = [];
  const tasks = newTaskGroup((name, error) => {
    process.stderr.write(`${name}: ${String(error)}\n`);
    process.exit(1);
  });
  const writer = newLogWriter({
    clock,
    log,
    follower,
    metrics: newMetrics(),
    writer: 'cyclamengate-cli',
    appendsPerSecond: () => MAX_APPENDS_PER_SECOND,
  });
  follower.onFolded(({ audit: entry }) => {
    if (entry) audit.push(entry);
  });

  /** Reads the log up to its current end. */
  const catchUp = async (): Promise<Result<void, string>> => {
    let failures = 0;
    while (failures < MAX_READ_FAILURES) {
      const page = await log.read(follower.next());
      if (page.ok) {
        follower.ingest({ ...page.val, logFirst: 0, ageMs: 0 });
        const isAtEnd = follower.next() >= page.val.end;
        if (isAtEnd && follower.isWaitingForCheckpoint())
          return Err('the log holds no checkpoint to start from');
        if (isAtEnd) return Ok(undefined);
      } else {
        failures += 1;
        await clock.sleepUntil(clock.now() + RETRY_DELAY_MS);
      }
    }
    return Err('the platform log does not answer');
  };

  const followLog = async (signal: AbortSignal): Promise<void> => {
    while (!signal.aborted) {
      const page = await log.read(follower.next(), signal);
      if (page.ok) follower.ingest({ ...page.val, logFirst: 0, ageMs: 0 });
      else await clock.sleepUntil(clock.now() + RETRY_DELAY_MS, signal);
    }
  };

  return {
    clock,
    follower,
    writer,
    audit: (): readonly AuditEntry[] => audit,
    catchUp,
    /** Starts the writer, and goes on reading the log for the decisions on its records. */
    start: (): void => {
      tasks.start('log writer', writer.run);
      tasks.start('log reader', followLog);
    },
    stop: tasks.stop,
  };
};

export type LogSession = ReturnType<typeof newLogSession>;

export default newLogSession;
