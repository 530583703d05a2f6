import { parseArgs } from 'node:util';
import handleEarlySignals from './handleEarlySignals.js';
import type { UncaughtErrors } from './newUncaughtErrors.js';

/** Exit statuses: 0 for success, 1 for a failure, 2 for incorrect usage. */
export const EXIT_FAILED = 1;
export const EXIT_MISUSED = 2;

/** A started program that signals can stop. */
export interface RunningProgram {
  /** Stops accepting work and resolves once the running work has finished. */
  drain: () => Promise<void>;
}

const formatUsage = (program: string): string =>
  [
    `Usage: ${program} --settings FILE`,
    '',
    'Options:',
    '  --settings FILE  the YAML file with addresses, failure domain and peers of this process',
    '  --help           shows this text',
    '',
    `Example: ${program} --settings /etc/cyclamengate/${program}.yaml`,
    '',
    'TERM or INT drains: running work is finished, no new work is accepted. A second INT stops at once.',
    '',
  ].join('\n');

const readSettingsPath = (program: string): string => {
  try {
    const { values } = parseArgs({
      options: { settings: { type: 'string' }, help: { type: 'boolean' } },
    });
    if (values.help) {
      process.stdout.write(formatUsage(program));
      process.exit(0);
    }
    if (values.settings) return values.settings;
  } catch (error) {
    process.stderr.write(`${program}: ${(error as Error).message}\n`);
  }
  process.stderr.write(formatUsage(program));
  return process.exit(EXIT_MISUSED);
};

/** Returns a function that drains the program and ends the process, once, with the highest status given. */
const newStop = ({ drain }: RunningProgram) => {
  let status = 0;
  let isStopping = false;
  return (withStatus: number): void => {
    status = Math.max(status, withStatus);
    if (isStopping) return;
    isStopping = true;
    drain().then(
      () => process.exit(status),
      () => process.exit(EXIT_FAILED),
    );
  };
};

/** Replaces the handlers of a signal, at no moment without one. */
const replaceHandlers = (signal: NodeJS.Signals, handle: () => void): void => {
  const before = process.rawListeners(signal) as (() => void)[];
  process.on(signal, handle);
  before.forEach((listener) => process.off(signal, listener));
};

/** A second TERM changes nothing: requests that were taken are still finished. */
const handleSignals = (stop: (status: number) => void): void => {
  let isInterrupted = false;
  replaceHandlers('SIGTERM', () => stop(0));
  replaceHandlers('SIGINT', () => {
    if (isInterrupted) process.exit(EXIT_FAILED);
    isInterrupted = true;
    stop(0);
  });
};

/**
 * Runs a daemon: parses its flags, starts it, handles signals and sets the exit status.
 * @param errors errors that nothing else handles, if the program goes on after some of them
 */
const startProgram = async (
  program: string,
  start: (settingsPath: string) => Promise<RunningProgram | string>,
  errors: UncaughtErrors | null = null,
): Promise<void> => {
  handleEarlySignals();
  const running = await start(readSettingsPath(program));
  if (typeof running === 'string') {
    process.stderr.write(`${program}: ${running}\n`);
    process.exit(EXIT_MISUSED);
  }
  const stop = newStop(running);
  errors?.drainWith(() => stop(EXIT_FAILED));
  handleSignals(stop);
};

export default startProgram;
