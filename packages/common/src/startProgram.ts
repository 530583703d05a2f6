import { parseArgs } from 'node:util';

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
    'TERM or INT drains: running work is finished, no new work is accepted. A second one stops at once.',
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

const handleSignals = (running: RunningProgram): void => {
  let isDraining = false;
  const onSignal = (): void => {
    if (isDraining) process.exit(EXIT_FAILED);
    isDraining = true;
    running.drain().then(
      () => process.exit(0),
      () => process.exit(EXIT_FAILED),
    );
  };
  process.on('SIGTERM', onSignal);
  process.on('SIGINT', onSignal);
};

/** Runs a daemon: parses its flags, starts it, handles signals and sets the exit status. */
const startProgram = async (
  program: string,
  start: (settingsPath: string) => Promise<RunningProgram | string>,
): Promise<void> => {
  const running = await start(readSettingsPath(program));
  if (typeof running === 'string') {
    process.stderr.write(`${program}: ${running}\n`);
    process.exit(EXIT_MISUSED);
  }
  handleSignals(running);
};

export default startProgram;
