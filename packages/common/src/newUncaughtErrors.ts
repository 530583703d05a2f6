import { writeSync } from 'node:fs';
import describeError from './describeError.js';
import isConnectionError from './isConnectionError.js';
import newErrorPolicy from './newErrorPolicy.js';
import type { ErrorOrigin, Reaction } from './newErrorPolicy.js';
import type { EventFields, EventLog } from './newEventLog.js';
import type { Metrics } from './newMetrics.js';

const EXIT_FAILED = 1;
const STDOUT_FD = 1;
/** The outermost frames show the origin of an error. */
const STACK_FRAMES = 50;

/** Where errors are reported once the program has its log and counters. */
export interface ErrorReport {
  log: EventLog;
  metrics: Metrics;
}

/** Written at once, since the process may end now; a full pipe costs the line, not the exit. */
const writeLineNow = (fields: EventFields): void => {
  const line = { time: new Date().toISOString(), level: 'ERROR', ...fields };
  try {
    writeSync(STDOUT_FD, `${JSON.stringify(line)}\n`);
  } catch {
    // There is nowhere left to report it.
  }
};

/**
 * Handles the errors that no other code has handled, from its creation on. Without it, Node.js ends the
 * process at the first, without a line in the log and with the open requests of all others.
 *
 * It closes nothing: the call or connection of the error ends by its own timeout. An error before the
 * program is started ends the process at once, since nothing is served yet.
 */
const newUncaughtErrors = () => {
  const policy = newErrorPolicy(() => performance.now());
  let report: ErrorReport | null = null;
  let drain: (() => void) | null = null;

  const write = (reaction: Reaction, fields: EventFields): void => {
    if (report && reaction !== 'exit') report.log.error('process.error', fields);
    else writeLineNow({ event: 'process.error', ...fields });
  };

  const handle = (origin: ErrorOrigin, thrown: unknown, task: string | null = null): void => {
    const { reaction: decided, isReported } = policy.decide(origin);
    const reaction = drain ? decided : 'exit';
    report?.metrics.count(`errors_uncaught_of_${origin}`);
    if (isReported) write(reaction, { origin, reaction, task, ...describeError(thrown) });
    if (reaction === 'exit') process.exit(EXIT_FAILED);
    if (reaction === 'drain') drain?.();
  };

  Error.stackTraceLimit = STACK_FRAMES;
  process.on('uncaughtException', (thrown) =>
    handle(isConnectionError(thrown) ? 'connection' : 'unknown', thrown),
  );
  process.on('unhandledRejection', (thrown) => handle('call', thrown));

  return {
    reportTo: (to: ErrorReport): void => {
      report = to;
    },
    /** @param start ends the process with a failure once open requests are finished */
    drainWith: (start: () => void): void => {
      drain = start;
    },
    /** Reports the error of a long-running task. */
    failTask: (task: string, thrown: unknown): void => handle('task', thrown, task),
  };
};

export type UncaughtErrors = ReturnType<typeof newUncaughtErrors>;

export default newUncaughtErrors;
